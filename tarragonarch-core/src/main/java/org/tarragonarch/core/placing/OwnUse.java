package org.tarragonarch.core.placing;

/**
 * How much room the clients of this holder's own failure domains have lately asked for.
 *
 * <p>An exponentially weighted mean: what was asked for a time constant ago counts 1/e as much as what comes now.
 */
final class OwnUse {
    /** Five status periods: as long as a burst takes to show, and long enough that one wide job is no burst. */
    private static final double TIME_CONSTANT_MILLIS = 1_000;

    private double weighted;
    private long updatedAtMillis;

    /** Records that so much processor time, in thousandths of a core, was taken for an own client. */
    void add(long milliCores, long nowMillis) {
        weighted = decayed(nowMillis) + milliCores;
        updatedAtMillis = nowMillis;
    }

    /** Returns how much was taken for own clients in a mean span of this length, in thousandths of a core. */
    double within(long spanMillis, long nowMillis) {
        return decayed(nowMillis) * spanMillis / TIME_CONSTANT_MILLIS;
    }

    private double decayed(long nowMillis) {
        return weighted * Math.exp((updatedAtMillis - nowMillis) / TIME_CONSTANT_MILLIS);
    }
}
