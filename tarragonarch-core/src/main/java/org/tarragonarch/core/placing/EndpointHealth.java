package org.tarragonarch.core.placing;

/**
 * Detects an unhealthy endpoint by how its runs end, and ejects it for a while.
 *
 * <p>Guards against an endpoint that fails or stalls what it starts: it looks idle, so it would draw most of the load.
 * Each end adds to or takes from the log-likelihood ratio of an endpoint that spoils half of its runs to a healthy one.
 * At the threshold the endpoint is ejected, for longer each time, and then gets one run as a trial.
 */
final class EndpointHealth {
    /** The log-likelihood ratio at which an endpoint is ejected. */
    private static final double EJECTION_THRESHOLD = 6.8;

    /** What a failed run adds to the ratio; jobs that can never be done fail on healthy endpoints too. */
    private static final double FAILURE_WEIGHT = 2.3;

    /** What a stalled run adds to the ratio; on healthy endpoints hardly any run stalls. */
    private static final double STALL_WEIGHT = 6.2;

    /** What a successful run takes from the ratio. */
    private static final double SUCCESS_WEIGHT = 0.64;

    private static final long FIRST_EJECTION_MILLIS = 1_000;
    private static final long LONGEST_EJECTION_MILLIS = 8_000;

    private double ratio;
    private long ejectionMillis = FIRST_EJECTION_MILLIS;
    private long ejectedUntilMillis = Long.MIN_VALUE;
    private boolean onTrial;

    void recordSuccess() {
        if (onTrial) {
            onTrial = false;
            ratio = EJECTION_THRESHOLD / 2;
        }
        ratio = Math.max(0, ratio - SUCCESS_WEIGHT);
        if (ratio == 0) {
            ejectionMillis = FIRST_EJECTION_MILLIS;
        }
    }

    void recordFailure(long nowMillis) {
        add(FAILURE_WEIGHT, nowMillis);
    }

    void recordStall(long nowMillis) {
        add(STALL_WEIGHT, nowMillis);
    }

    /** Ejects the endpoint for a while, whatever its runs say. */
    void eject(long nowMillis, long millis) {
        ejectedUntilMillis = Math.max(ejectedUntilMillis, nowMillis + millis);
    }

    boolean isEjected(long nowMillis) {
        return nowMillis < ejectedUntilMillis;
    }

    /** Returns whether the endpoint was ejected and may get a single run to show that it is healthy again. */
    boolean isOnTrial() {
        return onTrial;
    }

    private void add(double weight, long nowMillis) {
        ratio += weight;
        if (ratio >= EJECTION_THRESHOLD && !isEjected(nowMillis)) {
            onTrial = true;
            ejectedUntilMillis = nowMillis + ejectionMillis;
            ejectionMillis = Math.min(LONGEST_EJECTION_MILLIS, ejectionMillis * 2);
        }
    }
}
