package org.tarragonarch.model.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Instant;
import org.tarragonarch.model.id.ChangeId;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.OperatorName;

/**
 * The one row of the table service that says which configuration was accepted last.
 *
 * @param version the accepted version
 * @param digest the digest of the configuration's canonical text, which also names the object that holds it
 * @param change the change that put it there
 * @param operator who changed it
 * @param when when it was accepted, by the clock of the operator's program
 */
public record ConfigurationRow(
        ConfigurationVersion version, ContentDigest digest, ChangeId change, OperatorName operator, Instant when) {
    /** Checks the parts. */
    public ConfigurationRow {
        checkNotNull(version, "version");
        checkNotNull(digest, "digest");
        checkNotNull(change, "change");
        checkNotNull(operator, "operator");
        checkNotNull(when, "when");
    }
}
