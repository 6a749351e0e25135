package org.tarragonarch.benchmark.experiment;

import java.util.random.RandomGenerator;

/**
 * A log-normal distribution with an upper limit.
 *
 * @param mean the mean without the limit
 * @param spread the standard deviation of the logarithm; 0 for a constant
 * @param most the upper limit
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
