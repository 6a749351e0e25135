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
 * @param incarnation its incarnation
 * @param domain its failure domain
 * @param phase its phase
 * @param configuration the version of the configuration in force
 * @param submissions the number of submissions without an answer
 * @param endpoints the endpoints it knows
 * @param peers the peers it knows
 * @param queues the work of each team at each service that has any
 * @param quotas the use of quotas by each team with running tasks
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
