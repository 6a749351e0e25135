package org.tarragonarch.core.status;

import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.NodePhase;

/**
 * The state of one peer as known to a node.
 *
 * @param node the peer
 * @param domain its failure domain
 * @param alive whether it reported recently
 * @param phase its last reported phase
 * @param configuration the version of the configuration that it last reported in force
 */
public record PeerStatus(
        NodeId node, FailureDomain domain, boolean alive, NodePhase phase, ConfigurationVersion configuration) {}
