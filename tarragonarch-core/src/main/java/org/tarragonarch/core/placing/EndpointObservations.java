package org.tarragonarch.core.placing;

import org.tarragonarch.core.speed.EndpointSpeed;

/** The health, speed and stalled runs of the current incarnation of one endpoint, as observed by this holder. */
final class EndpointObservations {
    private final ReservedCapacity reserved;
    private final ProgressReports progress;
    private EndpointHealth health;
    private EndpointSpeed speed;
    private StallDetector stalls;

    EndpointObservations(ReservedCapacity reserved, ProgressReports progress) {
        this.reserved = reserved;
        this.progress = progress;
        reset();
    }

    /** Discards all observations when a later incarnation replaces the observed one. */
    void reset() {
        health = new EndpointHealth();
        speed = new EndpointSpeed();
        stalls = new StallDetector(reserved, health, speed, progress);
    }

    EndpointHealth health() {
        return health;
    }

    EndpointSpeed speed() {
        return speed;
    }

    StallDetector stalls() {
        return stalls;
    }

    /** Records whether a run succeeded. */
    void recordOutcome(boolean succeeded, long nowMillis) {
        if (succeeded) {
            health.recordSuccess();
        } else {
            health.recordFailure(nowMillis);
        }
    }
}
