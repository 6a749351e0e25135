package org.tarragonarch.core.event;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.tarragonarch.model.platform.Claim;

/**
 * What stands in the table service under a claim's key.
 *
 * @param wanted the claim that this node wanted
 * @param standing the claim that stands there; empty if none does
 */
public record ClaimResult(Claim wanted, Optional<Claim> standing) {
    /** Checks the parts. */
    public ClaimResult {
        checkNotNull(wanted, "wanted");
        checkNotNull(standing, "standing");
    }

    /** Returns whether the wanted claim is the one that stands. */
    public boolean won() {
        return standing.isPresent() && standing.get().token().equals(wanted.token());
    }
}
