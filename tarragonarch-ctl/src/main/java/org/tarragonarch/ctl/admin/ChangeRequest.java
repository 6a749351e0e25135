package org.tarragonarch.ctl.admin;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.ChangeId;
import org.tarragonarch.model.id.ConfigurationVersion;

/**
 * A change of the configuration that is to be accepted.
 *
 * @param from the version that it replaces; another version accepted meanwhile is a conflict
 * @param changeId the change's unique mark, the same each time it is sent
 * @param summary what changes, in words
 * @param canonical the new configuration's canonical text; callers must not change it
 */
public record ChangeRequest(ConfigurationVersion from, ChangeId changeId, String summary, byte[] canonical) {
    /** Checks the parts. */
    public ChangeRequest {
        checkNotNull(from, "from");
        checkNotNull(changeId, "change");
        checkNotNull(summary, "summary");
        checkNotNull(canonical, "canonical");
    }
}
