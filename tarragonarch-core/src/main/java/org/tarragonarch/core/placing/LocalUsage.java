package org.tarragonarch.core.placing;

/**
 * The recent rate at which jobs of clients in this holder's own failure domains take processor time, as an
 * exponentially weighted mean.
 */
final class LocalUsage {
    /** Five status periods: a burst of some seconds is followed, and a single wide job changes the mean little. */
    private static final double TIME_CONSTANT_MILLIS = 1_000;

    private double weighted;
    private long updatedAtMillis;

    /** Records a job of an own client that was taken, and its processor time in thousandths of a core. */
    void add(long milliCores, long nowMillis) {
        weighted = decayed(nowMillis) + milliCores;
        updatedAtMillis = nowMillis;
    }

    /** Returns the processor time taken for own clients in a time span at the mean rate, in thousandths of a core. */
    double usedWithin(long spanMillis, long nowMillis) {
        return decayed(nowMillis) * spanMillis / TIME_CONSTANT_MILLIS;
    }

    private double decayed(long nowMillis) {
        return weighted * Math.exp((updatedAtMillis - nowMillis) / TIME_CONSTANT_MILLIS);
    }
}
