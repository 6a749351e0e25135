package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.ClaimKey;

/**
 * Asks the node that holds a claim for the answer it gave or will give to the claim's submission.
 *
 * @param question the request number, unique within the run of the requesting node
 * @param key the claimed key
 */
public record AnswerAsked(long question, ClaimKey key) implements Frame {
    /** Checks that the request number is not negative and the key is not null. */
    public AnswerAsked {
        checkArgument(question >= 0, "question %s is negative", question);
        checkNotNull(key, "key");
    }
}
