package org.tarragonarch.core.speed;

/**
 * Keeps the mean speed of a pool at 1.
 *
 * <p>Run times determine only the product of an endpoint's speed and its queue's expected run time. Without a fixed
 * mean, all speeds could rise together while the expected run times fall, or vice versa. The mean is geometric, and the
 * influence of each endpoint is bounded to a factor of 1.6, so that a few very slow ones do not shift the speeds of all
 * others.
 */
public final class PoolSpeeds {
    /** The bound of one endpoint's deviation in the logarithm, a factor of 1.6. */
    private static final double MAX_LOGARITHM = 0.5;

    /** The fraction of the deviation that one call removes, so that classes do not change all at once. */
    private static final double CORRECTION = 0.2;

    private PoolSpeeds() {}

    /** Moves the speeds of a pool towards a mean of 1; to be called a few times a second. */
    public static void normalize(Iterable<EndpointSpeed> pool) {
        double sum = 0;
        int count = 0;
        for (EndpointSpeed speed : pool) {
            if (speed.isLearned()) {
                sum += Math.max(-MAX_LOGARITHM, Math.min(MAX_LOGARITHM, speed.logarithm()));
                count++;
            }
        }
        if (count > 1) {
            double shift = -CORRECTION * sum / count;
            pool.forEach(speed -> speed.shift(shift));
        }
    }
}
