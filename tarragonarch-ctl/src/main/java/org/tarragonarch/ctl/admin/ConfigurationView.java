package org.tarragonarch.ctl.admin;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.ConfigurationVersion;

/**
 * A configuration as a node gives it.
 *
 * @param version its version; 0 where the node has none
 * @param canonical its canonical text; callers must not change it
 */
public record ConfigurationView(ConfigurationVersion version, byte[] canonical) {
    /** Stands for no accepted configuration. */
    public static final ConfigurationView NONE = new ConfigurationView(ConfigurationVersion.NONE, new byte[0]);

    /** Checks the parts. */
    public ConfigurationView {
        checkNotNull(version, "version");
        checkNotNull(canonical, "canonical");
    }
}
