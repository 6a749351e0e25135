package org.tarragonarch.ctl.admin;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.id.ConfigurationVersion;

/**
 * What a node says of itself.
 *
 * @param node the node's id
 * @param domain the failure domain it stands in
 * @param phase how far it is on its way
 * @param configuration the version in force there
 * @param submissions submissions that have no answer yet
 * @param endpoints the endpoints it knows
 * @param peers the other nodes it knows
 * @param queues the work of each team at each service
 * @param quotas each team's use of its quota
 */
public record NodeView(
        String node,
        String domain,
        String phase,
        ConfigurationVersion configuration,
        long submissions,
        ImmutableList<EndpointView> endpoints,
        ImmutableList<PeerView> peers,
        ImmutableList<QueueView> queues,
        ImmutableList<QuotaView> quotas) {
    /** Returns how many endpoints it sends tasks to. */
    public long liveEndpoints() {
        return endpoints.stream().filter(EndpointView::isLive).count();
    }

    /** Returns of how many peers it has lately had reports. */
    public long livePeers() {
        return peers.stream().filter(PeerView::alive).count();
    }
}
