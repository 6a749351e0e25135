package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A run that an endpoint lists as running.
 *
 * @param run the run
 * @param percent the completed part of the work as reported by the endpoint, 0 to 100
 */
public record RunProgress(TaskRun run, int percent) {
    /** Checks that the run is not null and the percentage in range. */
    public RunProgress {
        checkNotNull(run, "run");
        checkArgument(percent >= 0 && percent <= 100, "percent %s is not within 0 and 100", percent);
    }
}
