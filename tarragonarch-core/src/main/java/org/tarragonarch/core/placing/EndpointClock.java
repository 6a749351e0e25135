package org.tarragonarch.core.placing;

import java.util.OptionalLong;

/**
 * An estimate of an endpoint's clock, taken from its last answer.
 *
 * <p>The clock value of an answer is taken as of the arrival of the answer, so the estimate lags behind the true clock
 * by the transit time of the answer. A lease computed from it is therefore too short rather than too long.
 */
final class EndpointClock {
    private long clockMillis;
    private long takenAtMillis;
    private boolean known;

    /** Records the clock value of an answer; an empty value leaves the estimate as it is. */
    void update(OptionalLong answer, long nowMillis) {
        if (answer.isPresent()) {
            clockMillis = answer.getAsLong();
            takenAtMillis = nowMillis;
            known = true;
        }
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
