package org.tarragonarch.core.placing;

import java.util.OptionalLong;

/**
 * A lower bound of an endpoint's clock, taken from its last answer.
 *
 * <p>The clock value of an answer is taken as of the arrival of the answer, and from then on the clock is assumed to be
 * as slow as allowed. A lease computed from the bound is therefore too short rather than too long, and all the more so
 * if the answer is old.
 */
final class EndpointClock {
    /** The lowest rate of an endpoint's clock, as a multiple of that of this node: endpoints may be slow by 2%. */
    static final double SLOWEST_RATE = 0.98;

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

    /**
     * Returns the lowest value that the endpoint's clock can have, in milliseconds.
     *
     * @param atMillis a time on the steady clock of this node, not before the last answer
     */
    long lowestAt(long atMillis) {
        return clockMillis + (long) Math.floor((atMillis - takenAtMillis) * SLOWEST_RATE);
    }
}
