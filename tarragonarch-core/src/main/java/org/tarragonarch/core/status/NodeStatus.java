package org.tarragonarch.core.status;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.NodePhase;

/**
 * A snapshot of a node.
 *
 * @param node the node
 * @param incarnation this run of it
 * @param domain where it stands
 * @param phase how far it is on its way
 * @param configuration the version in force
 * @param submissions how many submissions have no answer yet
 * @param endpoints the endpoints it knows
 * @param peers the peers it knows
 * @param queues the work of each team at each service, where there is some
 * @param quotas each team's use of its quota, where it runs something
 */
public record NodeStatus(
        NodeId node,
        Incarnation incarnation,
        FailureDomain domain,
        NodePhase phase,
        ConfigurationVersion configuration,
        int submissions,
        ImmutableList<EndpointStatus> endpoints,
        ImmutableList<PeerStatus> peers,
        ImmutableList<QueueStatus> queues,
        ImmutableList<QuotaStatus> quotas) {}
