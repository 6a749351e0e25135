package org.tarragonarch.core.status;

import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.NodePhase;

/**
 * What a node knows of one peer.
 *
 * @param node the peer
 * @param domain where it stands
 * @param alive whether a report from it came in lately
 * @param phase the phase it last reported
 * @param configuration the version it last reported in force
 */
public record PeerStatus(
        NodeId node, FailureDomain domain, boolean alive, NodePhase phase, ConfigurationVersion configuration) {}
