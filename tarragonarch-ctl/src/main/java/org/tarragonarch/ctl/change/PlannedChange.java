package org.tarragonarch.ctl.change;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.settings.CatalogDifference;

/**
 * A change that is not submitted yet.
 *
 * @param from the accepted version that the change replaces
 * @param difference the difference from the accepted version
 * @param canonical the canonical text of the new configuration; callers must not change it
 */
public record PlannedChange(ConfigurationVersion from, CatalogDifference difference, byte[] canonical) {
    /** Creates a planned change. */
    public PlannedChange {
        checkNotNull(from, "from");
        checkNotNull(difference, "difference");
        checkNotNull(canonical, "canonical");
    }
}
