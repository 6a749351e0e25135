package org.tarragonarch.standin.load;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.SplittableRandom;

/** The arrival times of a seeded Poisson process whose rate follows a pattern. */
final class Arrivals {
    private static final double NANOS_PER_SECOND = 1e9;

    private final SplittableRandom random;
    private final ArrivalPattern pattern;
    private final double maxRate;
    private double nanos;

    Arrivals(SplittableRandom random, ArrivalPattern pattern, double meanPerSecond) {
        checkArgument(meanPerSecond > 0, "rate %s is not positive", meanPerSecond);
        this.random = random;
        this.pattern = pattern;
        this.maxRate = meanPerSecond * pattern.maxFactor();
    }

    /** Returns the next arrival's time since the start, in nanoseconds. */
    long nextNanos() {
        // Thinning: draws arrivals at the maximum rate and keeps each with probability factor / maximum.
        do {
            nanos += -Math.log(1 - random.nextDouble()) / maxRate * NANOS_PER_SECOND;
        } while (random.nextDouble() >= pattern.factor((long) nanos) / pattern.maxFactor());
        return (long) nanos;
    }
}
