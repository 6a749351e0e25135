package org.tarragonarch.core.placing;

import java.util.Optional;
import org.tarragonarch.core.share.JobNeed;
import org.tarragonarch.core.share.PoolShares;
import org.tarragonarch.core.share.ShareAdmission;
import org.tarragonarch.core.share.ShareState;
import org.tarragonarch.core.share.ShareWait;
import org.tarragonarch.core.share.TaskSlots;

/** Estimates when a job would complete if it were admitted now. */
final class CompletionEstimator {
    private final Iterable<HeldEndpoint> endpoints;
    private final PendingShares pending;
    private final PoolShares shares;

    CompletionEstimator(Iterable<HeldEndpoint> endpoints, PendingShares pending, PoolShares shares) {
        this.endpoints = endpoints;
        this.pending = pending;
        this.shares = shares;
    }

    /**
     * Returns the estimate for a job.
     *
     * <p>An endpoint that is initializing counts as capacity in use. After a takeover or a restart every endpoint is
     * initializing for some 50 ms, and a job that waits for that time is usually still answered in time.
     */
    CompletionEstimate estimate(PlacedJob job, long now) {
        CapacityCount capacity = CapacityCount.of(endpoints, job, now);
        PendingJobs own = pending.jobsOf(job.share());
        boolean hasCapacityForAll = pending.waitingTasks() + job.step().count()
                <= capacity.freeTaskSlots() + capacity.initializingTaskSlots();
        long wait;
        long taskSlots = capacity.taskSlots();
        Optional<ShareState> share = Optional.empty();
        if (shares.plan().isConfigured()) {
            ShareWait inShare = waitInShare(job, own, capacity.toTaskSlots(), now);
            wait = Math.round(inShare.millis() / capacity.meanSpeed());
            taskSlots = inShare.taskSlots();
            hasCapacityForAll &= inShare.fitsBelowCeiling();
            share = Optional.of(inShare.state());
        } else {
            wait = waitInOrder(job, own, capacity, now);
        }
        long deadlineWithin = job.times().deadlineMillis() - now;
        long inTimeWithin = Math.min(job.times().inTimeMillis() - now, deadlineWithin);
        return new CompletionEstimate(
                wait,
                job.expectedRunMillis(),
                job.slowestRunMillis(),
                inTimeWithin,
                deadlineWithin,
                taskSlots,
                capacity.freeTaskSlots(),
                own.size(),
                hasCapacityForAll,
                share);
    }

    /** Returns the expected wait for the tasks ahead of the job where no shares are configured. */
    private static long waitInOrder(PlacedJob job, PendingJobs own, CapacityCount capacity, long now) {
        long missing = Math.max(0, job.step().count() - capacity.freeTaskSlots());
        boolean startsNow = missing == 0 && own.isEmpty();
        if (capacity.taskSlots() == 0 || startsNow) {
            return 0;
        }
        long ahead = own.waitingTaskMillis(now) + missing * job.expectedRunMillis();
        return (long) (ahead / capacity.weightedTaskSlots());
    }

    private ShareWait waitInShare(PlacedJob job, PendingJobs own, TaskSlots slots, long now) {
        PendingJobs.Ahead ahead = own.ahead(now);
        ShareAdmission admission = shares.admission(job.share(), slots.capacityMilliCores());
        JobNeed need =
                new JobNeed(job.step().count(), Math.max(1, job.taskResources().milliCores()), job.expectedRunMillis());
        return admission.waitFor(need, slots, ahead.milliCores(), ahead.work());
    }
}
