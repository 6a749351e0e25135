package org.tarragonarch.ctl.admin;

import org.tarragonarch.model.id.ConfigurationVersion;

/**
 * What a node says of another.
 *
 * @param node the other node's id
 * @param domain the failure domain it stands in
 * @param alive whether a report from it came in lately
 * @param phase the phase it last reported
 * @param configuration the version it last reported in force
 */
public record PeerView(String node, String domain, boolean alive, String phase, ConfigurationVersion configuration) {}
