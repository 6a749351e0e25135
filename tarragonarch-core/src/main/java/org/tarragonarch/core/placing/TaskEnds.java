package org.tarragonarch.core.placing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How the runs of a task have ended at one holder, over all submissions of its job.
 *
 * @param failures the runs that ended as failed
 * @param crashes the endpoints that crashed during a run of the task
 * @param lostRuns the runs whose endpoint became silent or crashed
 */
public record TaskEnds(int failures, int crashes, int lostRuns) {
    /** Checks that no number is negative. */
    public TaskEnds {
        checkArgument(failures >= 0 && crashes >= 0 && lostRuns >= 0, "negative number of ends");
    }
}
