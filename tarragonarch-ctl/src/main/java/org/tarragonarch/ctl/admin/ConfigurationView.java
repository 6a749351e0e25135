package org.tarragonarch.ctl.admin;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.ConfigurationVersion;

/**
 * An accepted configuration.
 *
 * @param version its version; 0 if there is none
 * @param canonical its canonical text; callers must not change it
 */
public record ConfigurationView(ConfigurationVersion version, byte[] canonical) {
    /** No configuration: version 0 and an empty text. */
    public static final ConfigurationView NONE = new ConfigurationView(ConfigurationVersion.NONE, new byte[0]);

    /** Creates a view. */
    public ConfigurationView {
        checkNotNull(version, "version");
        checkNotNull(canonical, "canonical");
    }
}
