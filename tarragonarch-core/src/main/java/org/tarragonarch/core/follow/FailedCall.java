package org.tarragonarch.core.follow;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.store.StoreResult;

/**
 * A call to the store that failed.
 *
 * @param result the result of the call
 * @param tookMillis the duration of the call, in milliseconds
 * @param sinceAnswerMillis the time since the store last answered a call for the table, or since the first call if it
 *     never did, in milliseconds
 */
public record FailedCall(StoreResult result, long tookMillis, long sinceAnswerMillis) {
    /**
     * Creates the description of a failed call.
     *
     * @throws IllegalArgumentException if a time is negative
     */
    public FailedCall {
        checkNotNull(result, "result");
        checkArgument(tookMillis >= 0, "tookMillis %s is negative", tookMillis);
        checkArgument(sinceAnswerMillis >= 0, "sinceAnswerMillis %s is negative", sinceAnswerMillis);
    }
}
