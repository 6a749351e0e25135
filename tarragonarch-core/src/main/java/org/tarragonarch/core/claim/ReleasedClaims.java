package org.tarragonarch.core.claim;

import java.util.LinkedHashSet;
import java.util.Set;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.ReleaseClaim;
import org.tarragonarch.model.id.ClaimToken;
import org.tarragonarch.model.platform.Claim;

/** The claims that this node has released and whose deletion may still be pending. */
final class ReleasedClaims {
    private static final int MAX_RELEASED = 10_000;

    private final Set<ClaimToken> tokens = new LinkedHashSet<>();

    /** Releases a claim and remembers it; the oldest remembered claim is discarded when there are too many. */
    void release(Claim claim, ActionSink sink) {
        tokens.add(claim.token());
        if (tokens.size() > MAX_RELEASED) {
            tokens.remove(tokens.iterator().next());
        }
        sink.emit(new ReleaseClaim(claim));
    }

    boolean contains(Claim claim) {
        return tokens.contains(claim.token());
    }
}
