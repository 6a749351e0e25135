package org.tarragonarch.core.follow;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How often a follower asks for changes, and how long the store may wait for one before it answers.
 *
 * @param periodMillis the pause between an answer and the next call, in milliseconds
 * @param waitMillis how long the store may wait for a change before it answers that there is none, in milliseconds;
 *     that the store has stopped answering shows after this and one call's timeout
 */
public record FollowPace(long periodMillis, long waitMillis) {
    /** Checks the parts. */
    public FollowPace {
        checkArgument(periodMillis >= 0, "periodMillis %s is negative", periodMillis);
        checkArgument(waitMillis >= 0, "waitMillis %s is negative", waitMillis);
        checkArgument(periodMillis + waitMillis > 0, "a follower has to pause or to wait");
    }

    /** Returns the pace of a follower that gets each change at once. */
    public static FollowPace longPolling(long waitMillis) {
        return new FollowPace(0, waitMillis);
    }

    /** Returns the pace of a follower that asks once a period, for a table that changes all the time. */
    public static FollowPace periodic(long periodMillis) {
        return new FollowPace(periodMillis, 0);
    }
}
