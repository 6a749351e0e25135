package org.tarragonarch.core.placing;

/**
 * Detects an unhealthy endpoint by the outcomes of its runs, and ejects it temporarily.
 *
 * <p>Guards against an endpoint that fails or stalls its runs: it looks idle, so it would attract most of the load.
 * Each outcome changes the log-likelihood ratio of an endpoint that fails half of its runs to a healthy one. When the
 * ratio reaches the threshold, the endpoint is ejected, for longer each time, and then gets a single run as a trial.
 */
final class EndpointHealth {
    /** The log-likelihood ratio at which an endpoint is ejected. */
    private static final double EJECTION_THRESHOLD = 6.8;

    /** The amount that a failed run adds to the ratio; jobs that can never succeed also fail on healthy endpoints. */
    private static final double FAILURE_WEIGHT = 2.3;

    /** The amount that a stalled run adds to the ratio; runs rarely stall on healthy endpoints. */
    private static final double STALL_WEIGHT = 6.2;

    /** The amount that a successful run subtracts from the ratio. */
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

    /** Ejects the endpoint for at least the given time, regardless of the outcomes of its runs. */
    void eject(long nowMillis, long millis) {
        ejectedUntilMillis = Math.max(ejectedUntilMillis, nowMillis + millis);
    }

    boolean isEjected(long nowMillis) {
        return nowMillis < ejectedUntilMillis;
    }

    /** Returns whether the endpoint was ejected and is limited to a single run until one succeeds. */
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
