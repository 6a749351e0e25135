package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A run that an endpoint lists as running.
 *
 * @param run the run
 * @param percent how much of its work is done, from 0 to 100, as the endpoint says
 */
public record RunProgress(TaskRun run, int percent) {
    /** Checks the parts. */
    public RunProgress {
        checkNotNull(run, "run");
        checkArgument(percent >= 0 && percent <= 100, "percent %s is not within 0 and 100", percent);
    }
}
