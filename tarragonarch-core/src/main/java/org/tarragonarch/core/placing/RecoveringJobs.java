package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.Timers;

/**
 * Jobs that may have runs of an earlier holder under way that have not been found yet.
 *
 * <p>Their runs are adopted as the run lists of the endpoints are read, so that a change of holder loses no run. A task
 * whose run was not found starts only when it is certain that it runs nowhere: an endpoint that does not answer delays
 * the tasks that may run there and no others.
 */
final class RecoveringJobs {
    /** The interval between checks of the jobs: a fraction of the time that a stop takes. */
    private static final long CHECK_MILLIS = 10;

    private final HeldShards shards;
    private final Timers timers;
    private final PlacementObserver observer;
    private final Consumer<PlacedJob> recovered;
    private final Map<JobId, Recovery> recoveries = new LinkedHashMap<>();
    /** The recoveries of jobs that have adopted runs, until the job ends. */
    private final Map<JobId, Recovery> adopters = new HashMap<>();

    private boolean checkScheduled;

    /**
     * Creates the recovery of a placer's jobs.
     *
     * @param observer is notified of each recovered job
     * @param recovered continues a job whose earlier runs are all adopted or over
     */
    RecoveringJobs(HeldShards shards, Timers timers, PlacementObserver observer, Consumer<PlacedJob> recovered) {
        this.shards = shards;
        this.timers = timers;
        this.observer = observer;
        this.recovered = recovered;
    }

    /** Adds a job and lets it adopt its runs that have been found already. */
    void add(PlacedJob job, Offer offer) {
        job.markUnresolved();
        recoveries.put(job.id(), new Recovery(job, new WaitingOffer(offer, timers.nowMillis())));
        shards.endpoints().forEach(endpoint -> endpoint.adopt(job));
        check(job);
        scheduleCheck();
    }

    /**
     * Recovers a job once more, after an adopted run has ended without success.
     *
     * <p>Guards against a task that runs twice: a call of the earlier holder that was waiting at the endpoint may have
     * been answered with this end, so that it has started the task again at an endpoint that this holder has not
     * reached.
     */
    void addAgain(PlacedJob job) {
        Recovery recovery = adopters.get(job.id());
        if (job.isOver() || recovery == null) {
            return;
        }
        recoveries.put(job.id(), recovery);
        shards.endpoints().forEach(endpoint -> endpoint.adopt(job));
        // The list that shows the end may also show a later run, which is processed after it.
        timers.schedule(0, () -> check(job));
        scheduleCheck();
    }

    /** Lets the jobs adopt the runs found on an endpoint whose run list was read for the first time. */
    void adoptFrom(HeldEndpoint endpoint) {
        jobs().forEach(endpoint::adopt);
    }

    /** Removes a job that has ended. */
    void remove(PlacedJob job) {
        recoveries.remove(job.id());
        adopters.remove(job.id());
    }

    private void scheduleCheck() {
        if (!checkScheduled && !recoveries.isEmpty()) {
            checkScheduled = true;
            timers.schedule(CHECK_MILLIS, this::checkAll);
        }
    }

    private void checkAll() {
        checkScheduled = false;
        jobs().forEach(this::check);
        scheduleCheck();
    }

    private void check(PlacedJob job) {
        Recovery recovery = recoveries.get(job.id());
        Optional<RecoveryGround> ground = recovery == null ? Optional.empty() : groundOf(recovery);
        if (ground.isPresent()) {
            recoveries.remove(job.id());
            job.markResolved();
            if (job.hasProgress()) {
                adopters.put(job.id(), recovery);
            }
            long waited = timers.nowMillis() - recovery.offer().sinceMillis();
            observer.recovered(job.origin(), job.id(), ground.get(), waited);
            recovered.accept(job);
        }
    }

    private Optional<RecoveryGround> groundOf(Recovery recovery) {
        PlacedJob job = recovery.job();
        Offer offer = recovery.offer().asOf(timers.nowMillis());
        if (!job.hasUnresolvedTasks()) {
            return Optional.of(RecoveryGround.ALL_FOUND);
        }
        if (offer.earlierRuns().isOver()) {
            return Optional.of(RecoveryGround.LEASE_OVER);
        }
        boolean ready =
                shards.hasOnlyAdoptableRuns(job.id(), offer.earlierRuns().shards());
        return ready ? Optional.of(RecoveryGround.LISTS_READ) : Optional.empty();
    }

    private ImmutableList<PlacedJob> jobs() {
        return recoveries.values().stream().map(Recovery::job).collect(ImmutableList.toImmutableList());
    }

    /** A job and its offer. */
    private record Recovery(PlacedJob job, WaitingOffer offer) {}
}
