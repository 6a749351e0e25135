package org.tarragonarch.ctl.admin;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.ChangeId;
import org.tarragonarch.model.id.ConfigurationVersion;

/**
 * A request to accept a configuration.
 *
 * @param from the version to replace; it is a conflict if another version is accepted by then
 * @param changeId the unique id of the change, the same in every attempt
 * @param summary the summary for the audit trail
 * @param canonical the canonical text of the new configuration; callers must not change it
 */
public record ChangeRequest(ConfigurationVersion from, ChangeId changeId, String summary, byte[] canonical) {
    /** Creates a request. */
    public ChangeRequest {
        checkNotNull(from, "from");
        checkNotNull(changeId, "changeId");
        checkNotNull(summary, "summary");
        checkNotNull(canonical, "canonical");
    }
}
