package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.Timers;

/**
 * Jobs of which runs of an earlier holder may be under way that were not found yet.
 *
 * <p>Their runs are adopted one by one, as the endpoints are read, so that a change of holder costs nothing of what
 * runs. A task whose run was not found starts only when it cannot run anywhere: an endpoint that does not answer delays
 * the tasks that may be there and no others.
 */
final class RecoveringJobs {
    /** How often the jobs are checked: a fraction of the time that a stop takes. */
    private static final long CHECK_MILLIS = 10;

    private final HeldShards shards;
    private final Timers timers;
    private final PlacementObserver observer;
    private final Consumer<PlacedJob> recovered;
    private final Map<JobId, Recovery> recoveries = new LinkedHashMap<>();
    private boolean checkPlanned;

    /**
     * Creates the recovery of a placer's jobs.
     *
     * @param observer is notified of each job that goes on
     * @param recovered goes on with a job none of whose runs is unknown any more
     */
    RecoveringJobs(HeldShards shards, Timers timers, PlacementObserver observer, Consumer<PlacedJob> recovered) {
        this.shards = shards;
        this.timers = timers;
        this.observer = observer;
        this.recovered = recovered;
    }

    /** Takes a job, and lets it adopt what was found of it already. */
    void add(PlacedJob job, Offer offer) {
        job.awaitEarlierRuns();
        recoveries.put(job.id(), new Recovery(job, new WaitingOffer(offer, timers.nowMillis())));
        shards.endpoints().forEach(endpoint -> endpoint.adopt(job));
        check(job);
        planCheck();
    }

    /** Lets the jobs adopt what was found on an endpoint that was just read for the first time. */
    void adoptFrom(HeldEndpoint endpoint) {
        jobs().forEach(endpoint::adopt);
    }

    /** Forgets a job that is over. */
    void remove(PlacedJob job) {
        recoveries.remove(job.id());
    }

    private void planCheck() {
        if (!checkPlanned && !recoveries.isEmpty()) {
            checkPlanned = true;
            timers.schedule(CHECK_MILLIS, this::checkAll);
        }
    }

    private void checkAll() {
        checkPlanned = false;
        jobs().forEach(this::check);
        planCheck();
    }

    private void check(PlacedJob job) {
        Recovery recovery = recoveries.get(job.id());
        Optional<RecoveryGround> ground = recovery == null ? Optional.empty() : groundOf(recovery);
        if (ground.isPresent()) {
            recoveries.remove(job.id());
            job.earlierRunsResolved();
            long waited = timers.nowMillis() - recovery.offer().sinceMillis();
            observer.recovered(job.origin(), job.id(), ground.get(), waited);
            recovered.accept(job);
        }
    }

    private Optional<RecoveryGround> groundOf(Recovery recovery) {
        PlacedJob job = recovery.job();
        Offer offer = recovery.offer().at(timers.nowMillis());
        if (!job.awaitsEarlierRuns()) {
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
