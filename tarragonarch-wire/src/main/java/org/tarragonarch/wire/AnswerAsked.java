package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.ClaimKey;

/**
 * Asks the node that holds a claim for the answer that it gave or will give.
 *
 * @param question the asking node's number for its question, unique within its run
 * @param key the key claimed
 */
public record AnswerAsked(long question, ClaimKey key) implements Frame {
    /** Checks the parts. */
    public AnswerAsked {
        checkArgument(question >= 0, "question %s is negative", question);
        checkNotNull(key, "key");
    }
}
