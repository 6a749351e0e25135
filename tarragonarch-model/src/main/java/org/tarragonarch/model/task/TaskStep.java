package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The identical tasks of a job.
 *
 * @param count the number of tasks, at least 1
 * @param perTask the resources that each task uses while it runs
 * @param estimateMillis the caller's estimate of a task's run time, in milliseconds; 0 if it gave none
 */
public record TaskStep(int count, Resources perTask, long estimateMillis) {
    /** Checks that the resources are not null and the numbers in range. */
    public TaskStep {
        checkArgument(count >= 1, "count %s is below 1", count);
        checkNotNull(perTask, "perTask");
        checkArgument(estimateMillis >= 0, "estimateMillis %s is negative", estimateMillis);
    }
}
