package org.tarragonarch.core.placing;

import java.util.OptionalLong;

/**
 * An estimate of an endpoint's clock, taken from its last answer.
 *
 * <p>The clock value of an answer is taken as of the arrival of the answer, so the estimate lags behind the true clock
 * by the transit time of the answer. A lease computed from it is therefore too short rather than too long.
 */
final class EndpointClock {
    /** Covers what the answers to two calls of one millisecond may differ by, in milliseconds. */
    private static final long RESTART_TOLERANCE_MILLIS = 10;

    private long clockMillis;
    private long takenAtMillis;
    private long latestOffsetMillis;
    private boolean known;

    /**
     * Records the clock value of an answer; one that is empty or of a later incarnation does not change the estimate.
     *
     * @param sentAtMillis when the call was sent, on the steady clock of this node
     * @return how long the steady clock certainly stood still since the answer before, in milliseconds; 0 if unknown
     */
    long update(OptionalLong answer, long sentAtMillis, long nowMillis) {
        if (answer.isEmpty() || hasStartedAnew(answer, sentAtMillis)) {
            return 0;
        }
        clockMillis = answer.getAsLong();
        long stopped = known ? clockMillis - nowMillis - latestOffsetMillis : 0;
        latestOffsetMillis = clockMillis - sentAtMillis;
        takenAtMillis = nowMillis;
        known = true;
        return Math.max(0, stopped);
    }

    /**
     * Returns whether the clock value of an answer proves that the endpoint has restarted: the call was sent after a
     * far higher value had arrived. Two calls of one millisecond may be answered in either order.
     */
    boolean hasStartedAnew(OptionalLong answer, long sentAtMillis) {
        return known
                && sentAtMillis >= takenAtMillis
                && answer.orElse(clockMillis) < clockMillis - RESTART_TOLERANCE_MILLIS;
    }

    /** Returns when the last clock value arrived, on the steady clock of this node in milliseconds. */
    long takenAtMillis() {
        return takenAtMillis;
    }

    /** Returns whether any answer contained a clock value. */
    boolean isKnown() {
        return known;
    }

    /** Returns the endpoint's clock, in milliseconds, at a time on the steady clock of this node. */
    long at(long nowMillis) {
        return clockMillis + (nowMillis - takenAtMillis);
    }
}
