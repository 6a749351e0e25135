package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.FailureDomain;

/**
 * What may still run of a job that a lost holder had.
 *
 * @param lastMillis how long it may go on, 0 if nothing can
 * @param shards on whose endpoints it may run; empty if nothing can
 */
public record EarlierRuns(long lastMillis, ImmutableSet<FailureDomain> shards) {
    /** Of a job that no holder had before, or whose earlier runs are certainly over. */
    public static final EarlierRuns NONE = new EarlierRuns(0, ImmutableSet.of());

    /** Checks the parts. */
    public EarlierRuns {
        checkArgument(lastMillis >= 0, "lastMillis %s is negative", lastMillis);
        checkNotNull(shards, "shards");
    }

    /** Returns what may run so much later. */
    EarlierRuns afterWait(long millis) {
        return millis >= lastMillis ? NONE : new EarlierRuns(lastMillis - millis, shards);
    }

    /** Returns whether nothing can run any more. */
    public boolean isOver() {
        return lastMillis == 0;
    }
}
