package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonarch.core.share.PoolShares;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.TaskName;
import org.tarragonarch.model.task.Timers;
import org.tarragonarch.model.task.Verdict;

/** The jobs of one placer, from their offer through admission or recovery to the verdict. */
final class JobLifecycle {
    private final HeldShards shards;
    private final PendingShares pending;
    private final JobFactory factory;
    private final Timers timers;
    private final PlacerListener listener;
    private final Map<JobId, PlacedJob> jobs = new HashMap<>();
    private final CancellingJobs cancelling = new CancellingJobs();
    private final TasksAwaitingOrigin awaitingOrigin;
    private final CompletionEstimator estimator;
    private final OfferAdmission admission;
    private final RecoveringJobs recovering;
    private final TaskStarter starter;
    private final JobRefusals refusals;

    JobLifecycle(
            HeldShards shards,
            PendingShares pending,
            PoolShares poolShares,
            PoolCapacity capacity,
            JobFactory factory,
            TasksAwaitingOrigin awaitingOrigin,
            Timers timers,
            PlacerListener listener) {
        this.shards = shards;
        this.pending = pending;
        this.factory = factory;
        this.awaitingOrigin = awaitingOrigin;
        this.timers = timers;
        this.listener = listener;
        this.estimator = new CompletionEstimator(shards.endpoints(), pending, poolShares);
        this.admission = new OfferAdmission(pending);
        this.refusals = new JobRefusals(listener);
        this.recovering = new RecoveringJobs(shards, timers, listener, this::resume);
        this.starter = new TaskStarter(shards, pending, poolShares, capacity, awaitingOrigin, timers, this::giveUp);
    }

    /** Returns whether there are neither jobs nor runs of ended ones. */
    boolean isEmpty() {
        return jobs.isEmpty() && cancelling.isEmpty();
    }

    /** Admits or declines a job; see {@link Placer#offer}. */
    void offer(Offer offer) {
        PlacedJob known = jobs.get(offer.job().id());
        if (known != null) {
            if (!known.origin().equals(offer.origin())) {
                listener.resubmitted(known.id(), known.origin(), offer.origin());
            }
            known.resubmitted(offer);
            return;
        }
        if (!cancelling.defer(offer, timers.nowMillis())) {
            recoverOrAdmit(offer, 1);
        }
    }

    /** Ends a job whose client has disconnected or cancelled it. */
    void withdraw(NodeId origin, JobId id) {
        cancelling.withdraw(origin, id);
        PlacedJob job = jobs.get(id);
        if (job != null && job.origin().equals(origin)) {
            end(job);
            starter.scheduleStart();
        }
    }

    /** Ends every job of an origin that is lost; see {@link Placer#originLost}. */
    void originLost(NodeId origin) {
        cancelling.originLost(origin);
        int ended = endAllOf(origin, ImmutableSet.of());
        if (ended > 0) {
            listener.originLost(origin, ended);
        }
    }

    /** Ends every job of an origin except those that it still has open; see {@link Placer#retain}. */
    void retain(NodeId origin, Set<JobId> open) {
        cancelling.retain(origin, open);
        int ended = endAllOf(origin, open);
        if (ended > 0) {
            listener.jobsNotOpen(origin, ended);
        }
    }

    private int endAllOf(NodeId origin, Set<JobId> open) {
        int ended = 0;
        for (PlacedJob job : ImmutableList.copyOf(jobs.values())) {
            if (job.origin().equals(origin) && !open.contains(job.id())) {
                end(job);
                ended++;
            }
        }
        starter.scheduleStart();
        return ended;
    }

    /** Keeps the waiting tasks of an origin from starting until a message from it arrives on a new connection. */
    void connectionLost(NodeId origin) {
        awaitingOrigin.addWaiting(jobs.values(), origin);
    }

    /** Stops the runs of jobs over which this node no longer has authority. */
    void stopRunsWithoutAuthority() {
        awaitingOrigin.stopRuns(jobs.values(), timers.nowMillis());
    }

    /** Releases the tasks that wait for a message from this origin. */
    void messageReceivedFrom(NodeId origin) {
        ImmutableSet<PlacedJob> released = awaitingOrigin.release(origin);
        if (!released.isEmpty()) {
            released.forEach(this::requeue);
            starter.scheduleStart();
        }
    }

    /** Returns all jobs to their origins, also those being stopped, which may be offered again. */
    void returnAll() {
        ImmutableList<PlacedJob> returned = ImmutableList.copyOf(jobs.values());
        returned.forEach(this::forget);
        for (PlacedJob job : returned) {
            boolean mayRun = job.wasStarted() || job.hasUnresolvedTasks();
            listener.settled(job.origin(), job.id(), mayRun ? Verdict.HOLD_LOST : Verdict.RETURNED, 0);
        }
        for (PlacedJob job : cancelling.removeWithoutOffer()) {
            listener.settled(job.origin(), job.id(), Verdict.HOLD_LOST, 0);
        }
        for (Offer offer : cancelling.removeDeferred()) {
            listener.settled(offer.origin(), offer.job().id(), Verdict.HOLD_LOST, 0);
        }
    }

    /** Returns the jobs that may have runs of an earlier holder under way. */
    RecoveringJobs recovering() {
        return recovering;
    }

    /**
     * Handles the release of capacity by a run of the job. After the last run, a job marked for eviction is returned to
     * its origin, and a deferred offer of the job is admitted.
     */
    void capacityReleased(PlacedJob job) {
        if (cancelling.removeIfEvicted(job)) {
            listener.settled(job.origin(), job.id(), Verdict.EVICTED, 0);
        }
        cancelling
                .removeIfStopped(job)
                .ifPresent(deferred -> recoverOrAdmit(deferred.asOf(timers.nowMillis()), job.lastRunNumber() + 1));
        starter.scheduleStart();
    }

    /** Starts pending tasks once the events at hand are processed. */
    void scheduleStart() {
        starter.scheduleStart();
    }

    private void recoverOrAdmit(Offer offer, int firstRun) {
        PlacedJob job = factory.create(offer, firstRun);
        if (!offer.earlierRuns().isOver()) {
            jobs.put(job.id(), job);
            recovering.add(job, offer);
        } else if (!abandonIfDue(job)) {
            admit(job);
        }
    }

    private void admit(PlacedJob job) {
        CompletionEstimate estimate = estimator.estimate(job, timers.nowMillis());
        if (!admission.admit(job, estimate, timers.nowMillis())) {
            refusals.refuse(job, estimate);
            return;
        }
        jobs.put(job.id(), job);
        pending.add(job);
        starter.startPending();
    }

    /** Continues a job whose earlier runs are adopted or over; one that has progress is finished even if late. */
    private void resume(PlacedJob job) {
        if (job.allFinished()) {
            settle(job, Verdict.DONE);
            return;
        }
        boolean isSettled = abandonIfDue(job);
        if (!isSettled && job.hasProgress()) {
            requeue(job);
            starter.scheduleStart();
        } else if (!isSettled) {
            jobs.remove(job.id());
            admit(job);
        }
    }

    /** Adds a job to the pending jobs again, because one of its tasks has to be restarted. */
    void requeue(PlacedJob job) {
        pending.add(job);
        evictIfUnplaceable(job);
    }

    /** Returns the pending jobs to their origins that no listed endpoint can run. */
    void evictUnplaceable() {
        pending.inOrder().forEach(this::evictIfUnplaceable);
    }

    /**
     * Returns a job to its origin if no listed endpoint could run its waiting tasks, even if idle.
     *
     * <p>Guards against a job that waits until its deadline because its failure domain was drained, or every endpoint
     * that is large enough has shrunk or left. Its runs are stopped first, so that it can be offered to any other
     * holder. While a run of an earlier holder may be under way, the job stays here until this is resolved.
     */
    private void evictIfUnplaceable(PlacedJob job) {
        boolean waits = !job.isOver() && job.waitingTasks() > 0 && !job.hasUnresolvedTasks();
        if (!waits || shards.canHost(job)) {
            return;
        }
        if (!job.hasProgress()) {
            end(job);
            refusals.decline(job, estimator.estimate(job, timers.nowMillis()));
            return;
        }
        end(job);
        if (job.hasReservations()) {
            cancelling.markEvicted(job);
        } else {
            listener.settled(job.origin(), job.id(), Verdict.EVICTED, 0);
        }
    }

    /** Ends a job whose answer would come too late; one that never started is declined, as it has not run. */
    private void giveUp(PlacedJob job) {
        if (job.wasStarted()) {
            settle(job, Verdict.TOO_LATE);
        } else {
            CompletionEstimate estimate = estimator.estimate(job, timers.nowMillis());
            end(job);
            refusals.declineExpired(job, estimate);
        }
    }

    /** Returns the task of this name of a job that is not settled; empty if there is none. */
    Optional<PlacedTask> findOpen(TaskName name) {
        return jobs.values().stream()
                .filter(job -> name.belongsTo(job.id()))
                .findFirst()
                .flatMap(job -> job.task(name));
    }

    /** Settles a job with a waiting task that must not be started again; returns whether it has one. */
    boolean abandonIfDue(PlacedJob job) {
        Optional<PlacedTask> due = job.taskToAbandon();
        due.ifPresent(task -> abandon(task, task.abandonGround().orElseThrow()));
        return due.isPresent();
    }

    /** Settles the job of a task that is not started again. */
    void abandon(PlacedTask task, AbandonGround ground) {
        PlacedJob job = task.job();
        listener.taskAbandoned(task.name(), ground, task.ends(), job.attempts());
        settle(job, ground.verdict());
    }

    /** Ends a job with a verdict. */
    void settle(PlacedJob job, Verdict verdict) {
        end(job);
        listener.settled(job.origin(), job.id(), verdict, 0);
    }

    private void end(PlacedJob job) {
        forget(job);
        job.end();
        cancelling.add(job);
    }

    private void forget(PlacedJob job) {
        jobs.remove(job.id());
        recovering.remove(job);
        pending.remove(job);
    }
}
