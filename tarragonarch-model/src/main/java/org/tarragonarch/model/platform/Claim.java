package org.tarragonarch.model.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.id.ClaimToken;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;

/**
 * The right of one run of one node to run the submission under a key.
 *
 * @param key the key claimed
 * @param token the mark of the attempt, by which a lost reply is settled
 * @param node the node that claims
 * @param incarnation the run of that node
 * @param content the digest of the submission, so that a key used again for other work is noticed
 */
public record Claim(ClaimKey key, ClaimToken token, NodeId node, Incarnation incarnation, ContentDigest content) {
    /** Checks the parts. */
    public Claim {
        checkNotNull(key, "key");
        checkNotNull(token, "token");
        checkNotNull(node, "node");
        checkNotNull(incarnation, "incarnation");
        checkNotNull(content, "content");
    }
}
