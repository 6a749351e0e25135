package org.tarragonarch.standin.load;

/** A pattern of the arrival rate over time; the mean of each pattern's factor is 1. */
public enum ArrivalPattern {
    /** A constant rate. */
    STEADY {
        @Override
        double factor(long nanos) {
            return 1;
        }
    },
    /** Three times the mean rate for one second in five, and half the mean rate otherwise. */
    BURSTS {
        @Override
        double factor(long nanos) {
            return nanos % PERIOD_NANOS < BURST_NANOS ? 3 : 0.5;
        }
    };

    private static final long PERIOD_NANOS = 5_000_000_000L;
    private static final long BURST_NANOS = 1_000_000_000L;

    /** Returns the rate as a multiple of the mean rate, at a time in nanoseconds since the start. */
    abstract double factor(long nanos);

    /** Returns the maximum of the factor. */
    double maxFactor() {
        return Math.max(factor(0), factor(BURST_NANOS));
    }
}
