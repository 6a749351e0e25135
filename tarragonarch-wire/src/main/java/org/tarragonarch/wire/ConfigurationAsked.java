package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.ConfigurationVersion;

/**
 * Asks a peer for the configuration it has in force.
 *
 * @param version the lowest version that is of use
 */
public record ConfigurationAsked(ConfigurationVersion version) implements Frame {
    /** Checks the parts. */
    public ConfigurationAsked {
        checkNotNull(version, "version");
    }
}
