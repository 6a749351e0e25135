package org.tarragonarch.core.endpoint;

/**
 * Tracks whether a failure domain is reachable.
 *
 * <p>When the network between failure domains is cut, connections to one endpoint after another fail, and each task
 * tried at the next endpoint loses time. After a few consecutive failures no task is sent to the domain until one of
 * its endpoints answers.
 */
final class DomainReachability {
    private int consecutiveFailures;

    boolean isCutOff() {
        return consecutiveFailures >= HealthPolicy.UNREACHABLE_WHEN_CUT_OFF;
    }

    /** Records that an endpoint of the domain answered. */
    void recordAnswer() {
        consecutiveFailures = 0;
    }

    void recordUnreachable() {
        consecutiveFailures++;
    }
}
