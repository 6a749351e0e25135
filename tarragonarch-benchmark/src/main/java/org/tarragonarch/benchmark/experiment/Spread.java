package org.tarragonarch.benchmark.experiment;

import java.util.random.RandomGenerator;

/**
 * A quantity that differs from job to job: log-normal around its mean, cut off at a most.
 *
 * @param mean the mean
 * @param spread the standard deviation of the logarithm; 0 for a constant
 * @param most the largest value
 */
public record Spread(double mean, double spread, double most) {
    double draw(RandomGenerator random) {
        double drawn = mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
        return Math.min(most, drawn);
    }

    int drawInteger(RandomGenerator random) {
        return (int) Math.max(1, Math.round(draw(random)));
    }
}
