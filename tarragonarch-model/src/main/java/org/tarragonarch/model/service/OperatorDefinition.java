package org.tarragonarch.model.service;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.OperatorName;

/**
 * An operator of the system.
 *
 * @param name the operator's name, as shown in the audit trail
 * @param role what the operator may do
 * @param tokenDigest the SHA-256 digest of the operator's token
 */
public record OperatorDefinition(OperatorName name, OperatorRole role, ContentDigest tokenDigest) {
    /** Checks that no component is null. */
    public OperatorDefinition {
        checkNotNull(name, "name");
        checkNotNull(role, "role");
        checkNotNull(tokenDigest, "tokenDigest");
    }
}
