package org.tarragonarch.model.service;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.CallerName;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.TeamName;

/**
 * A caller that may use services.
 *
 * @param name the caller's name
 * @param team the team whose quota its work counts against
 * @param tokenDigest the SHA-256 digest of the caller's token, which itself is not stored
 */
public record CallerDefinition(CallerName name, TeamName team, ContentDigest tokenDigest) {
    /** Checks that no component is null. */
    public CallerDefinition {
        checkNotNull(name, "name");
        checkNotNull(team, "team");
        checkNotNull(tokenDigest, "tokenDigest");
    }
}
