package org.tarragonarch.core.placing;

import java.util.Optional;
import org.tarragonarch.core.share.ShareState;

/**
 * A holder's estimate of when an offered job would complete, with the values that it was computed from.
 *
 * @param waitMillis the expected time until the job's tasks start
 * @param expectedRunMillis the expected run time of one of the job's tasks
 * @param slowestRunMillis the expected run time of the job's slowest task
 * @param inTimeWithinMillis the time left until its objective or its client's deadline, whichever is sooner
 * @param deadlineWithinMillis the time left until its client's deadline
 * @param taskSlots the number of tasks of its size that the usable endpoints can run at a time, within the ceiling of
 *     its share
 * @param freeTaskSlots the number of such tasks that the usable endpoints could start now, regardless of the ceiling
 * @param waitingJobs the number of pending jobs of its share
 * @param hasCapacityForAll whether there is capacity for it and all waiting tasks, counting endpoints that are still
 *     initializing
 * @param share the state of the job's share; empty where no shares are configured
 */
public record CompletionEstimate(
        long waitMillis,
        long expectedRunMillis,
        long slowestRunMillis,
        long inTimeWithinMillis,
        long deadlineWithinMillis,
        long taskSlots,
        long freeTaskSlots,
        int waitingJobs,
        boolean hasCapacityForAll,
        Optional<ShareState> share) {
    /**
     * Returns whether the job should be admitted.
     *
     * <p>Under load, only jobs that are expected to be answered in time are admitted, since work on other jobs would
     * make these late. Where there is capacity for all waiting tasks, a late answer is still better than none: for
     * instance in the seconds after a power loss of all nodes, when jobs have waited for a holder and every endpoint is
     * idle. A job whose slowest task would probably run beyond the client's deadline, even if started now, is admitted
     * only where there is such capacity.
     */
    boolean isAdmissible() {
        boolean inTime =
                waitMillis + expectedRunMillis <= inTimeWithinMillis && slowestRunMillis <= deadlineWithinMillis;
        boolean lateWithoutHarm = hasCapacityForAll && expectedRunMillis <= deadlineWithinMillis;
        return taskSlots > 0 && (inTime || lateWithoutHarm);
    }
}
