package org.tarragonarch.model.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.id.ClaimToken;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;

/**
 * The exclusive right of one incarnation of a node to run the submission with an idempotency key.
 *
 * @param key the claimed key
 * @param token the token of the attempt, which shows after a lost reply whether the claim succeeded
 * @param node the claiming node
 * @param incarnation the incarnation of that node
 * @param content the digest of the submission, to detect reuse of the key for other content
 */
public record Claim(ClaimKey key, ClaimToken token, NodeId node, Incarnation incarnation, ContentDigest content) {
    /** Checks that no component is null. */
    public Claim {
        checkNotNull(key, "key");
        checkNotNull(token, "token");
        checkNotNull(node, "node");
        checkNotNull(incarnation, "incarnation");
        checkNotNull(content, "content");
    }
}
