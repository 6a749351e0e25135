package org.tarragonarch.core.placing;

import java.util.HashSet;
import java.util.Set;

/**
 * How the runs of one task have ended, over all submissions of its job.
 *
 * <p>Shared by the tasks of these submissions, so that an end that is found late counts for the one that is open.
 */
final class TaskRecord {
    private final Set<Integer> failedRuns = new HashSet<>();
    private int crashes;
    private int lostRuns;

    /** Returns the numbers of ends so far. */
    TaskEnds ends() {
        return new TaskEnds(failedRuns.size(), crashes, lostRuns);
    }

    /** Returns whether an endpoint has crashed during a run. */
    boolean hasCrash() {
        return crashes > 0;
    }

    /** Records a failed run, which counts once however often it is listed. */
    void addFailedRun(int run) {
        failedRuns.add(run);
    }

    /** Records that an endpoint crashed during a run. */
    void addCrash() {
        crashes++;
    }

    /** Records that the endpoint of a run became silent or crashed. */
    void addLostRun() {
        lostRuns++;
    }
}
