package org.tarragonarch.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Instant;
import org.tarragonarch.model.id.ChangeId;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.OperatorName;

/**
 * One accepted change of the configuration, written in the same transaction that accepted it.
 *
 * @param version the version that the change created
 * @param from the version that it replaced
 * @param digest the digest of the new configuration, under which the object store keeps it
 * @param change the unique id of the change
 * @param operator the operator who made the change
 * @param when the time of the change, by the clock of the program that wrote the record
 * @param summary a description of what changed, for people
 */
public record AuditRecord(
        ConfigurationVersion version,
        ConfigurationVersion from,
        ContentDigest digest,
        ChangeId change,
        OperatorName operator,
        Instant when,
        String summary) {
    /** Checks that no component is null. */
    public AuditRecord {
        checkNotNull(version, "version");
        checkNotNull(from, "from");
        checkNotNull(digest, "digest");
        checkNotNull(change, "change");
        checkNotNull(operator, "operator");
        checkNotNull(when, "when");
        checkNotNull(summary, "summary");
    }
}
