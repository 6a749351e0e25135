package org.tarragonarch.core.action;

import java.util.Optional;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.NodeId;

/**
 * Load a configuration, check its digest, and report {@code ConfigurationLoaded} or {@code ConfigurationLoadFailed}.
 *
 * @param version the requested version
 * @param digest the digest that it must have; empty if the version is known only from a peer
 * @param peer the peer to ask; empty for the object store
 */
public record LoadConfiguration(ConfigurationVersion version, Optional<ContentDigest> digest, Optional<NodeId> peer)
        implements Action {}
