package org.tarragonarch.core.follow;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How often a follower asks the store for changes, and how long the store may hold a call until there is one.
 *
 * @param periodMillis the pause between an answer and the next call, in milliseconds
 * @param waitMillis how long the store may wait for a change before it answers without one, in milliseconds; a store
 *     that stopped answering is detected after this time and the timeout of a call
 */
public record FollowPace(long periodMillis, long waitMillis) {
    /**
     * Creates a pace.
     *
     * @throws IllegalArgumentException if a time is negative or both are 0
     */
    public FollowPace {
        checkArgument(periodMillis >= 0, "periodMillis %s is negative", periodMillis);
        checkArgument(waitMillis >= 0, "waitMillis %s is negative", waitMillis);
        checkArgument(periodMillis + waitMillis > 0, "periodMillis and waitMillis are both 0");
    }

    /** Returns the pace of a follower that calls without a pause and so receives each change at once. */
    public static FollowPace longPolling(long waitMillis) {
        return new FollowPace(0, waitMillis);
    }

    /** Returns the pace of a follower that calls once per period, for a table that changes continually. */
    public static FollowPace periodic(long periodMillis) {
        return new FollowPace(periodMillis, 0);
    }
}
