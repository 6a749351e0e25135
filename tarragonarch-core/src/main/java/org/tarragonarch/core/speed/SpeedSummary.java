package org.tarragonarch.core.speed;

/**
 * Summary statistics of the speeds of the endpoints that a node holds, as multiples of their pool's mean.
 *
 * @param slowest the lowest
 * @param mean the arithmetic mean
 * @param fastest the highest
 */
public record SpeedSummary(double slowest, double mean, double fastest) {
    /** The summary if no endpoint is held. */
    public static final SpeedSummary NONE = new SpeedSummary(1, 1, 1);

    /** Returns the summary of the given speeds; {@link #NONE} without any. */
    public static SpeedSummary of(Iterable<EndpointSpeed> speeds) {
        double slowest = Double.MAX_VALUE;
        double fastest = 0;
        double sum = 0;
        int count = 0;
        for (EndpointSpeed speed : speeds) {
            double value = speed.value();
            slowest = Math.min(slowest, value);
            fastest = Math.max(fastest, value);
            sum += value;
            count++;
        }
        return count == 0 ? NONE : new SpeedSummary(slowest, sum / count, fastest);
    }
}
