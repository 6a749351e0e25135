package org.tarragonarch.core.action;

import java.util.Optional;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.NodeId;

/**
 * Load a configuration, check its digest, and report {@code ConfigurationLoaded} or {@code ConfigurationLoadFailed}.
 *
 * @param version the version wanted
 * @param digest the digest that it must have; empty when only a peer's word for the version is known
 * @param peer the peer to ask; empty for the object store
 */
public record LoadConfiguration(ConfigurationVersion version, Optional<ContentDigest> digest, Optional<NodeId> peer)
        implements Action {}
