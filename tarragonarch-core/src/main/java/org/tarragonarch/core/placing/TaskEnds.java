package org.tarragonarch.core.placing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How the runs of a task have ended at one holder.
 *
 * @param failures the runs that ended as failed since the job was offered
 * @param crashes the endpoints that crashed during a run of the task, also before the job was submitted again
 * @param lostRuns the runs whose endpoint became silent or crashed since the job was offered
 */
public record TaskEnds(int failures, int crashes, int lostRuns) {
    /** No run has ended. */
    static final TaskEnds NONE = new TaskEnds(0, 0, 0);

    /** Checks that no number is negative. */
    public TaskEnds {
        checkArgument(failures >= 0 && crashes >= 0 && lostRuns >= 0, "negative number of ends");
    }

    TaskEnds withFailure() {
        return new TaskEnds(failures + 1, crashes, lostRuns);
    }

    TaskEnds withCrashes(int more) {
        return new TaskEnds(failures, crashes + more, lostRuns);
    }

    TaskEnds withLostRun() {
        return new TaskEnds(failures, crashes, lostRuns + 1);
    }
}
