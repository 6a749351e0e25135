package org.tarragonarch.core.placing;

/**
 * The recent rate at which jobs of clients in this holder's failure domains use processor time, as an exponentially
 * weighted mean.
 */
final class LocalUsage {
    /** Five status periods, so that the mean follows a burst of a few seconds but not a single wide job. */
    private static final double TIME_CONSTANT_MILLIS = 1_000;

    private double weightedMilliCores;
    private long updatedAtMillis;

    /** Records an accepted job of a local client, with its processor time in thousandths of a core. */
    void add(long milliCores, long nowMillis) {
        weightedMilliCores = decayed(nowMillis) + milliCores;
        updatedAtMillis = nowMillis;
    }

    /** Returns the processor time that local clients use in a time span at the mean rate, in thousandths of a core. */
    double usedWithin(long spanMillis, long nowMillis) {
        return decayed(nowMillis) * spanMillis / TIME_CONSTANT_MILLIS;
    }

    private double decayed(long nowMillis) {
        return weightedMilliCores * Math.exp((updatedAtMillis - nowMillis) / TIME_CONSTANT_MILLIS);
    }
}
