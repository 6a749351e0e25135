package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.FailureDomain;

/**
 * The runs of a job that a lost holder started and that may still be in progress.
 *
 * @param lastMillis how long the runs may continue, in milliseconds; 0 if there can be none
 * @param shards the failure domains on whose endpoints they may be in progress; empty if there can be none
 */
public record EarlierRuns(long lastMillis, ImmutableSet<FailureDomain> shards) {
    /** The value for a job that no holder had before, or whose earlier runs have certainly ended. */
    public static final EarlierRuns NONE = new EarlierRuns(0, ImmutableSet.of());

    /** Checks that the time is not negative and the set not null. */
    public EarlierRuns {
        checkArgument(lastMillis >= 0, "lastMillis %s is negative", lastMillis);
        checkNotNull(shards, "shards");
    }

    /** Returns the runs that may still be in progress after a wait. */
    EarlierRuns afterWait(long millis) {
        return millis >= lastMillis ? NONE : new EarlierRuns(lastMillis - millis, shards);
    }

    /** Returns whether no run can be in progress any more. */
    public boolean isOver() {
        return lastMillis == 0;
    }
}
