package org.tarragonarch.core.event;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.tarragonarch.model.platform.Claim;

/**
 * The result of writing or reading one claim in the table service.
 *
 * @param wanted the claim that this node requested
 * @param standing the claim stored under the key; empty if there is none
 */
public record ClaimResult(Claim wanted, Optional<Claim> standing) {
    /** Creates a claim result. */
    public ClaimResult {
        checkNotNull(wanted, "wanted");
        checkNotNull(standing, "standing");
    }

    /** Returns whether the requested claim is the stored one. */
    public boolean won() {
        return standing.isPresent() && standing.get().token().equals(wanted.token());
    }
}
