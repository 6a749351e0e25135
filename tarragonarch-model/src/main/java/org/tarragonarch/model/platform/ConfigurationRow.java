package org.tarragonarch.model.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Instant;
import org.tarragonarch.model.id.ChangeId;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.OperatorName;

/**
 * The row of the table service that names the configuration accepted last.
 *
 * @param version the accepted version
 * @param digest the digest of the configuration's canonical text, which also names the object that holds it
 * @param change the change that wrote the row
 * @param operator the operator who made the change
 * @param when the time of acceptance, by the clock of the operator's program
 */
public record ConfigurationRow(
        ConfigurationVersion version, ContentDigest digest, ChangeId change, OperatorName operator, Instant when) {
    /** Checks that no component is null. */
    public ConfigurationRow {
        checkNotNull(version, "version");
        checkNotNull(digest, "digest");
        checkNotNull(change, "change");
        checkNotNull(operator, "operator");
        checkNotNull(when, "when");
    }
}
