package org.tarragonarch.ctl.admin;

import org.tarragonarch.model.id.ConfigurationVersion;

/**
 * A peer as seen by a node.
 *
 * @param node the id of the peer
 * @param domain its failure domain
 * @param alive whether a report from it was received recently
 * @param phase the lifecycle phase in its last report
 * @param configuration the version in force in its last report
 */
public record PeerView(String node, String domain, boolean alive, String phase, ConfigurationVersion configuration) {}
