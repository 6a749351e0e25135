package org.tarragonarch.core.placing;

import org.tarragonarch.core.speed.EndpointSpeed;

/** The health, speed and stalled runs of the present incarnation of one endpoint, as observed by this holder. */
final class EndpointObservations {
    private final ReservedCapacity room;
    private final ProgressReports progress;
    private EndpointHealth health;
    private EndpointSpeed speed;
    private StallDetector stalls;

    EndpointObservations(ReservedCapacity room, ProgressReports progress) {
        this.room = room;
        this.progress = progress;
        reset();
    }

    /** Forgets everything, because a later incarnation has followed. */
    void reset() {
        health = new EndpointHealth();
        speed = new EndpointSpeed();
        stalls = new StallDetector(room, health, speed, progress);
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
