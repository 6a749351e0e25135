package org.tarragonarch.standin.load;

/** How the rate of arrivals changes with time; each pattern has the mean 1. */
public enum ArrivalPattern {
    /** Always the same rate. */
    STEADY {
        @Override
        double factor(long nanos) {
            return 1;
        }
    },
    /** One second in five at three times the mean rate, the others at half of it. */
    BURSTS {
        @Override
        double factor(long nanos) {
            return nanos % PERIOD_NANOS < BURST_NANOS ? 3 : 0.5;
        }
    };

    private static final long PERIOD_NANOS = 5_000_000_000L;
    private static final long BURST_NANOS = 1_000_000_000L;

    /** Returns the rate at a time since the start, as a multiple of the mean rate. */
    abstract double factor(long nanos);

    /** Returns the highest multiple. */
    double maxFactor() {
        return Math.max(factor(0), factor(BURST_NANOS));
    }
}
