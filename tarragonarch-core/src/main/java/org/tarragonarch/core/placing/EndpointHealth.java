package org.tarragonarch.core.placing;

/**
 * Judges one endpoint by what becomes of its runs.
 *
 * <p>Guards against an endpoint that fails whatever it starts, or lets it stand still: it looks idle, so without this
 * it would draw most of the load. It shows by runs that end badly one after the other. After
 * {@value #BAD_RUNS_IN_A_ROW} of them the endpoint rests, longer each time, and then gets one run as a trial.
 */
final class EndpointHealth {
    /** Jobs that can never be done are a few in a hundred, so three bad ends in a row are hardly ever theirs. */
    private static final int BAD_RUNS_IN_A_ROW = 3;

    private static final long FIRST_REST_MILLIS = 1_000;
    private static final long LONGEST_REST_MILLIS = 8_000;

    private int badInARow;
    private long restMillis = FIRST_REST_MILLIS;
    private long restUntilMillis = Long.MIN_VALUE;

    void good() {
        badInARow = 0;
        restMillis = FIRST_REST_MILLIS;
    }

    void bad(long nowMillis) {
        badInARow++;
        if (badInARow >= BAD_RUNS_IN_A_ROW && nowMillis >= restUntilMillis) {
            restUntilMillis = nowMillis + restMillis;
            restMillis = Math.min(LONGEST_REST_MILLIS, restMillis * 2);
        }
    }

    void rest(long nowMillis, long millis) {
        restUntilMillis = Math.max(restUntilMillis, nowMillis + millis);
    }

    boolean resting(long nowMillis) {
        return nowMillis < restUntilMillis;
    }

    /** Returns whether only a single run may be tried. */
    boolean onTrial() {
        return badInARow >= BAD_RUNS_IN_A_ROW;
    }
}
