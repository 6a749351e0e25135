package org.tarragonarch.ctl.admin;

/**
 * What a node says of an endpoint.
 *
 * @param endpoint the endpoint's id
 * @param domain the failure domain it stands in
 * @param address where it listens
 * @param slots how many tasks it runs at once
 * @param inFlight tasks of the node that were sent and have not ended
 * @param health live, leaving, quarantined or drained
 * @param reason why its health is what it is
 */
public record EndpointView(
        String endpoint, String domain, String address, long slots, long inFlight, String health, String reason) {
    private static final String LIVE = "live";

    /** Returns whether the node sends it tasks. */
    public boolean isLive() {
        return health.equals(LIVE);
    }
}
