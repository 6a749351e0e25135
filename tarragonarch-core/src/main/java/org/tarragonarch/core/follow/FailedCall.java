package org.tarragonarch.core.follow;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.store.StoreResult;

/**
 * A call to the store that brought nothing.
 *
 * @param result how it ended
 * @param tookMillis how long it was under way, in milliseconds
 * @param sinceAnswerMillis how long ago the store last answered for the table, in milliseconds; if it never did, how
 *     long ago it was first asked
 */
public record FailedCall(StoreResult result, long tookMillis, long sinceAnswerMillis) {
    /** Checks the parts. */
    public FailedCall {
        checkNotNull(result, "result");
        checkArgument(tookMillis >= 0, "tookMillis %s is negative", tookMillis);
        checkArgument(sinceAnswerMillis >= 0, "sinceAnswerMillis %s is negative", sinceAnswerMillis);
    }
}
