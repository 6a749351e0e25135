package org.tarragonarch.core.placing;

import java.util.OptionalLong;

/**
 * An endpoint's clock as its last answer showed it.
 *
 * <p>Taken as of the moment the answer came, so it runs behind the true one by the way of the answer; a lease computed
 * from it is too short by that rather than too long.
 */
final class EndpointClock {
    private long clockMillis;
    private long takenAtMillis;
    private boolean isKnown;

    void update(OptionalLong answer, long nowMillis) {
        if (answer.isPresent()) {
            clockMillis = answer.getAsLong();
            takenAtMillis = nowMillis;
            isKnown = true;
        }
    }

    boolean isKnown() {
        return isKnown;
    }

    long at(long nowMillis) {
        return clockMillis + (nowMillis - takenAtMillis);
    }
}
