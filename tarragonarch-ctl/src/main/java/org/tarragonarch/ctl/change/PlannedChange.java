package org.tarragonarch.ctl.change;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.settings.CatalogDifference;

/**
 * A change that could be made.
 *
 * @param from the accepted version that it was compared with
 * @param difference what it changes
 * @param canonical the new configuration's canonical text; callers must not change it
 */
public record PlannedChange(ConfigurationVersion from, CatalogDifference difference, byte[] canonical) {
    /** Checks the parts. */
    public PlannedChange {
        checkNotNull(from, "from");
        checkNotNull(difference, "difference");
        checkNotNull(canonical, "canonical");
    }
}
