package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.ConfigurationVersion;

/**
 * Asks a peer for the configuration that it has in force.
 *
 * @param version the lowest version that the sender can use
 */
public record ConfigurationAsked(ConfigurationVersion version) implements Frame {
    /** Checks that the version is not null. */
    public ConfigurationAsked {
        checkNotNull(version, "version");
    }
}
