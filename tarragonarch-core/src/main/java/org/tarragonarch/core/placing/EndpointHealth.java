package org.tarragonarch.core.placing;

/**
 * Judges one endpoint by what becomes of its runs.
 *
 * <p>Guards against an endpoint that fails what it starts, or lets it stand still, all of it or some: it looks idle, so
 * without this it would draw most of the load. It shows by bad ends that are too many for the good ones between them.
 * Then the endpoint rests, longer each time, and gets one run as a trial.
 */
final class EndpointHealth {
    /**
     * Evidence at which the endpoint rests: what it does must be some thousand times as likely of an unwell one, which
     * spoils half of its runs, as of a sound one. The figures below are natural logarithms of such ratios.
     */
    private static final double ENOUGH = 6.8;

    /** Of a failed run; jobs that can never be done fail on sound endpoints too. */
    private static final double FAILED = 2.3;

    /** Of a run that stood still; on sound endpoints hardly any overruns its estimate by as much. */
    private static final double STOOD_STILL = 6.2;

    /** Of a good run, which speaks for the endpoint. If it took back everything, one in two could fail for ever. */
    private static final double GOOD = 0.64;

    private static final long FIRST_REST_MILLIS = 1_000;
    private static final long LONGEST_REST_MILLIS = 8_000;

    private double evidence;
    private long restMillis = FIRST_REST_MILLIS;
    private long restUntilMillis = Long.MIN_VALUE;
    private boolean onTrial;

    void good() {
        if (onTrial) {
            onTrial = false;
            evidence = ENOUGH / 2;
        }
        evidence = Math.max(0, evidence - GOOD);
        if (evidence == 0) {
            restMillis = FIRST_REST_MILLIS;
        }
    }

    void failed(long nowMillis) {
        bad(nowMillis, FAILED);
    }

    void stoodStill(long nowMillis) {
        bad(nowMillis, STOOD_STILL);
    }

    void rest(long nowMillis, long millis) {
        restUntilMillis = Math.max(restUntilMillis, nowMillis + millis);
    }

    boolean resting(long nowMillis) {
        return nowMillis < restUntilMillis;
    }

    /** Returns whether only a single run may be tried. */
    boolean onTrial() {
        return onTrial;
    }

    private void bad(long nowMillis, double weight) {
        evidence += weight;
        if (evidence >= ENOUGH && nowMillis >= restUntilMillis) {
            onTrial = true;
            restUntilMillis = nowMillis + restMillis;
            restMillis = Math.min(LONGEST_REST_MILLIS, restMillis * 2);
        }
    }
}
