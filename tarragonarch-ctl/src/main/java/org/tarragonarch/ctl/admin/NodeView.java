package org.tarragonarch.ctl.admin;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.id.ConfigurationVersion;

/**
 * The status of a node.
 *
 * @param node the id of the node
 * @param domain its failure domain
 * @param phase its lifecycle phase
 * @param configuration the version in force at the node
 * @param submissions the number of submissions without an answer
 * @param endpoints the known endpoints
 * @param peers the known peers
 * @param queues the tasks of each team at each service
 * @param quotas the quota use of each team
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
    /** Returns the number of endpoints to which the node sends tasks. */
    public long liveEndpoints() {
        return endpoints.stream().filter(EndpointView::isLive).count();
    }

    /** Returns the number of peers from which the node recently received a report. */
    public long livePeers() {
        return peers.stream().filter(PeerView::alive).count();
    }
}
