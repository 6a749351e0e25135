package org.tarragonarch.ctl.admin;

/**
 * An endpoint as seen by a node.
 *
 * @param endpoint the endpoint's id
 * @param domain its failure domain
 * @param address its address
 * @param slots the number of tasks it runs concurrently
 * @param inFlight the number of tasks sent by the node that have not ended
 * @param health live, leaving, quarantined or drained
 * @param reason the reason of its health
 */
public record EndpointView(
        String endpoint, String domain, String address, long slots, long inFlight, String health, String reason) {
    private static final String LIVE = "live";

    /** Returns whether the node sends tasks to the endpoint. */
    public boolean isLive() {
        return health.equals(LIVE);
    }
}
