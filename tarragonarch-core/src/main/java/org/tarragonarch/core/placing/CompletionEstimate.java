package org.tarragonarch.core.placing;

import java.util.Optional;
import org.tarragonarch.core.share.ShareState;

/**
 * What a holder expects of a job as it comes in, and from which inputs.
 *
 * @param waitMillis how long its tasks would wait for room
 * @param expectedRunMillis how long one of its tasks should run
 * @param slowestRunMillis how long the slowest of its tasks should run
 * @param inTimeWithinMillis how long from now its answer still counts in full, or until its client leaves if that is
 *     sooner
 * @param deadlineWithinMillis how long from now its client waits
 * @param taskSlots how many tasks of its size the usable endpoints hold, within the ceiling of its share
 * @param freeTaskSlots how many places of the usable endpoints are free, whatever the ceiling
 * @param waitingJobs how many jobs wait before it
 * @param hasCapacityForAll whether there is room for it and for all that wait, now or as soon as the endpoints that are just
 *     being opened are known
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
     * Returns whether the job is worth taking.
     *
     * <p>Under load only what should be answered in time is: work on the rest would make others late. Where there is
     * room for everything that waits, a late answer is still better than none. That is how it is in the seconds
     * after all nodes were without power, when jobs have waited for a holder and every endpoint is idle. A job of which
     * the slowest task most likely outlasts its client, even if started now, is taken only where there is such room.
     */
    boolean isAdmissible() {
        boolean inTime =
                waitMillis + expectedRunMillis <= inTimeWithinMillis && slowestRunMillis <= deadlineWithinMillis;
        boolean lateWithoutHarm = hasCapacityForAll && expectedRunMillis <= deadlineWithinMillis;
        return taskSlots > 0 && (inTime || lateWithoutHarm);
    }
}
