package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Tasks of a job that are alike.
 *
 * @param count how many tasks, at least 1
 * @param perTask what each task takes of its endpoint while it runs
 * @param estimateMillis the caller's rough guess at a task's run time, in milliseconds; 0 if it gave none
 */
public record TaskStep(int count, Resources perTask, long estimateMillis) {
    /** Checks the parts. */
    public TaskStep {
        checkArgument(count >= 1, "count %s is below 1", count);
        checkNotNull(perTask, "perTask");
        checkArgument(estimateMillis >= 0, "estimateMillis %s is negative", estimateMillis);
    }
}
