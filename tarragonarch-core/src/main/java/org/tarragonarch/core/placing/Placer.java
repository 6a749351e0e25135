package org.tarragonarch.core.placing;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.tarragonarch.core.share.PoolShares;
import org.tarragonarch.core.share.ShareState;
import org.tarragonarch.core.speed.EndpointSpeed;
import org.tarragonarch.core.speed.SpeedSummary;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.share.ShareId;
import org.tarragonarch.model.share.ShareUse;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.TaskStep;
import org.tarragonarch.model.task.Timers;
import org.tarragonarch.model.task.Verdict;

/**
 * Places the tasks of jobs on the endpoints of the shards that this node holds, as one pool.
 *
 * <p>One thread calls every method, and every reply of the ports comes on it.
 */
public final class Placer {
    /** When to come back to a shard without endpoints: about what a takeover or a restart takes. */
    private static final long IMPOSSIBLE_RETRY_MILLIS = 1_000;

    private final PlacingSettings settings;
    private final EndpointOrders orders;
    private final Timers timers;
    private final PlacerListener listener;
    private final RunTimes runTimes;
    private final HeldShards shards;
    private final Map<JobId, PlacedJob> jobs = new HashMap<>();
    private final PendingShares pending = new PendingShares();
    private final ShareReview shareReview;
    private final PoolShares poolShares;
    private final ProgressReports progress = new ProgressReports();
    private final CompletionEstimator estimator;
    private final OfferAdmission admission = new OfferAdmission(pending);
    private final CancellingJobs cancelling = new CancellingJobs();
    private final RecoveringJobs recovering;
    private final TaskStarter starter;
    private final RunResults results;
    private boolean closed;

    /**
     * Creates a placer that holds no shard yet.
     *
     * @param runTimes what is known of run times; outlives this placer
     * @param wholeList tells whether a shard's list of endpoints can be taken for whole
     */
    public Placer(
            PlacingSettings settings,
            EndpointOrders orders,
            Timers timers,
            PlacerListener listener,
            RunTimes runTimes,
            Predicate<FailureDomain> wholeList) {
        this.settings = checkNotNull(settings, "settings");
        this.orders = checkNotNull(orders, "orders");
        this.timers = checkNotNull(timers, "timers");
        this.listener = checkNotNull(listener, "listener");
        this.runTimes = checkNotNull(runTimes, "runTimes");
        this.shards = new HeldShards(checkNotNull(wholeList, "wholeList"));
        PoolCapacity capacity = new PoolCapacity(shards.endpoints());
        this.poolShares = new PoolShares(
                settings.shares(), shards.tallies(), share -> pending.of(share).waitingMilliCores());
        this.shareReview = new ShareReview(poolShares, capacity, timers, listener);
        this.estimator = new CompletionEstimator(shards.endpoints(), pending, poolShares);
        this.recovering = new RecoveringJobs(shards, timers, this::resume);
        this.starter = new TaskStarter(shards, pending, poolShares, capacity, timers, this::giveUp);
        this.results = new RunResults(runTimes, timers, listener, new Results());
    }

    /**
     * Adds a shard.
     *
     * @param token the token under which this node holds the shard's endpoints
     */
    public void open(FailureDomain shard, FencingToken token, Collection<EndpointEntry> listed) {
        checkState(!closed && shards.find(shard).isEmpty(), "%s is open", shard);
        shards.add(shard, new PlacedShard(token, settings, orders, timers, results, progress));
        update(shard, listed);
    }

    /** Returns the token under which this node holds the shard, if it does. */
    public Optional<FencingToken> token(FailureDomain shard) {
        return shards.token(shard);
    }

    /** Returns the shards that are held. */
    public ImmutableSet<FailureDomain> shards() {
        return shards.domains();
    }

    /** Updates the list of a shard's endpoints. */
    public void update(FailureDomain shard, Collection<EndpointEntry> listed) {
        shards.find(shard).orElseThrow().update(listed);
        pending.inOrder().forEach(this::evictIfUnplaceable);
        starter.planStart();
    }

    /**
     * Releases one shard. What runs there is not renewed any more, and starts elsewhere when its lease has certainly
     * run out; without another shard the whole placer closes, and its jobs are given back.
     */
    public void release(FailureDomain shard) {
        if (shards.domains().equals(Set.of(shard))) {
            close();
            return;
        }
        shards.remove(shard).ifPresent(gone -> {
            gone.abandon();
            starter.planStart();
        });
    }

    /**
     * Takes a job, or declines it at once.
     *
     * <p>A job that is known already was sent again by its client; it goes on, and the node that offers it now gets the
     * verdict.
     */
    public void offer(Offer offer) {
        PlacedJob known = jobs.get(offer.job().id());
        if (known != null) {
            known.resubmittedThrough(offer.origin());
            return;
        }
        if (!cancelling.defer(offer, timers.nowMillis())) {
            take(offer, 1);
        }
    }

    /** Ends a job whose client has left or cancelled it; nothing is said of it any more. */
    public void withdraw(NodeId origin, JobId id) {
        cancelling.withdraw(origin, id);
        PlacedJob job = jobs.get(id);
        if (job != null && job.origin().equals(origin)) {
            end(job);
            starter.planStart();
        }
    }

    /**
     * Ends every job of a node that is gone.
     *
     * <p>Guards against a job that its client sends again, to another node, while it still runs here: the node's death
     * breaks the client's connection, and the client comes back after its pause.
     */
    public void originLost(NodeId origin) {
        cancelling.originLost(origin);
        for (PlacedJob job : ImmutableList.copyOf(jobs.values())) {
            if (job.origin().equals(origin)) {
                end(job);
            }
        }
        starter.planStart();
    }

    /** Looks for runs that stall, and compares the speeds of endpoints; to be called a few times a second. */
    public void review() {
        shards.endpoints().forEach(HeldEndpoint::restartOverdueRuns);
        shareReview.review();
        shards.normalizeSpeeds();
        shards.endpoints().forEach(this::reportSpeed);
        starter.planStart();
    }

    /**
     * Releases every shard. What runs is left to the next holder, or to its lease.
     *
     * <p>A job of which nothing was started is given back as such: it may go anywhere at once, and its client may be
     * told that it has not run.
     */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        shards.closeAll();
        ImmutableList<PlacedJob> givenBack = ImmutableList.copyOf(jobs.values());
        givenBack.forEach(this::forget);
        for (PlacedJob job : givenBack) {
            boolean mayRun = job.wasStarted() || job.awaitsEarlierRuns();
            listener.settled(job.origin(), job.id(), mayRun ? Verdict.HOLD_LOST : Verdict.RETURNED, 0);
        }
        for (PlacedJob job : cancelling.removeEvicted()) {
            listener.settled(job.origin(), job.id(), Verdict.HOLD_LOST, 0);
        }
        for (Offer offer : cancelling.removeDeferred()) {
            listener.settled(offer.origin(), offer.job().id(), Verdict.HOLD_LOST, 0);
        }
    }

    /** Returns the processor time that is free in a shard on endpoints that take tasks, in thousandths of a core. */
    public long freeMilliCores(FailureDomain shard) {
        return shards.find(shard).map(PlacedShard::freeMilliCores).orElse(0L);
    }

    /** Returns the state of every share; empty where no shares are configured. */
    public ImmutableList<ShareState> shareStates() {
        return shareReview.states();
    }

    /** Returns the use of each priority in a shard; empty where no shares are configured. */
    public ImmutableList<ShareUse> shareUses(FailureDomain shard) {
        return settings.shares().isConfigured()
                ? shards.find(shard).map(held -> held.tally().uses()).orElse(ImmutableList.of())
                : ImmutableList.of();
    }

    /** Returns whether no endpoint of the shard has answered although this node has asked them for long enough. */
    public boolean isUnreachable(FailureDomain shard) {
        return shards.find(shard).filter(PlacedShard::isUnreachable).isPresent();
    }

    private void reportSpeed(HeldEndpoint endpoint) {
        EndpointSpeed speed = endpoint.speed();
        if (speed.isReportDue()) {
            EndpointEntry entry = endpoint.entry();
            listener.speedChanged(entry.domain(), entry.id(), speed.reportedSpeed(), speed.classSpeed());
            speed.markReported();
        }
    }

    /** Returns a summary of the speeds of all endpoints. */
    public SpeedSummary speeds() {
        return SpeedSummary.of(Iterables.transform(shards.endpoints(), HeldEndpoint::speed));
    }

    private void take(Offer offer, int firstRun) {
        String queue = offer.queue().name();
        TaskStep step = offer.job().step();
        long expected = runTimes.expectedMillis(queue, step.estimateMillis());
        double slowest = Math.max(1, runTimes.slowestOf(queue, step.count()));
        JobTimes times = JobTimes.of(offer, expected, timers.nowMillis());
        ShareId share =
                poolShares.shareOf(offer.queue().service(), offer.queue().priority());
        PlacedJob job = new PlacedJob(offer, firstRun, expected, slowest, times, share);
        if (offer.earlierRuns().over()) {
            admit(job);
            return;
        }
        jobs.put(job.id(), job);
        recovering.add(job, offer);
    }

    private void admit(PlacedJob job) {
        CompletionEstimate estimate = estimator.of(job, timers.nowMillis());
        if (!admission.admit(job, estimate, timers.nowMillis())) {
            refuse(job, estimate);
            return;
        }
        jobs.put(job.id(), job);
        pending.add(job);
        starter.startPending();
    }

    /** Goes on with a job whose earlier runs are known or over; what had begun is finished, however late. */
    private void resume(PlacedJob job) {
        if (job.allFinished()) {
            settle(job, Verdict.DONE);
        } else if (job.wasBegun()) {
            requeue(job);
            starter.planStart();
        } else {
            jobs.remove(job.id());
            admit(job);
        }
    }

    private void requeue(PlacedJob job) {
        pending.add(job);
        evictIfUnplaceable(job);
    }

    /**
     * Gives a job back if no listed endpoint may take the tasks that wait, however idle it were.
     *
     * <p>Guards against a job that waits until its deadline because its failure domain was drained, or every endpoint
     * that is large enough has shrunk or left. What runs of it is stopped first, so that it may go to any other holder.
     * While a run of an earlier holder may be under way, the job stays until that is known.
     */
    private void evictIfUnplaceable(PlacedJob job) {
        boolean waits = !job.over() && job.waitingTasks() > 0 && !job.awaitsEarlierRuns();
        if (!waits || shards.canHost(job)) {
            return;
        }
        if (!job.wasBegun()) {
            end(job);
            decline(job, estimator.of(job, timers.nowMillis()));
            return;
        }
        end(job);
        if (job.holdsRoom()) {
            cancelling.evict(job);
        } else {
            listener.settled(job.origin(), job.id(), Verdict.EVICTED, 0);
        }
    }

    /** Gives back what is not taken; a job that could have waited is declined, and one that could not is no refusal. */
    private void refuse(PlacedJob job, CompletionEstimate estimate) {
        Verdict verdict = job.offer().terms().refusal();
        if (verdict == Verdict.DECLINED) {
            decline(job, estimate);
        } else {
            listener.settled(job.origin(), job.id(), verdict, 0);
        }
    }

    private void decline(PlacedJob job, CompletionEstimate estimate) {
        listener.declined(job.origin(), job.id(), estimate);
        long retry = estimate.places() == 0 ? IMPOSSIBLE_RETRY_MILLIS : estimate.waitMillis();
        listener.settled(job.origin(), job.id(), Verdict.DECLINED, retry);
    }

    /** Gives up a job whose answer would come too late; what never started is declined, for that is the truth. */
    private void giveUp(PlacedJob job) {
        if (job.wasStarted()) {
            settle(job, Verdict.TOO_LATE);
        } else {
            CompletionEstimate estimate = estimator.of(job, timers.nowMillis());
            listener.declined(job.origin(), job.id(), estimate);
            end(job);
            long retry = estimate.share().isPresent() ? estimate.waitMillis() : 0;
            listener.settled(job.origin(), job.id(), Verdict.DECLINED, retry);
        }
    }

    private void settle(PlacedJob job, Verdict verdict) {
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

    /** What becomes of jobs by the ends of their runs. */
    private final class Results implements RunResults.Host {
        @Override
        public boolean closed() {
            return closed;
        }

        @Override
        public void settle(PlacedJob job, Verdict verdict) {
            Placer.this.settle(job, verdict);
        }

        @Override
        public void requeue(PlacedJob job) {
            Placer.this.requeue(job);
        }

        @Override
        public void capacityReleased(PlacedJob job) {
            if (cancelling.removeIfEvicted(job)) {
                listener.settled(job.origin(), job.id(), Verdict.EVICTED, 0);
            }
            cancelling
                    .removeIfOver(job)
                    .ifPresent(deferred -> take(deferred.at(timers.nowMillis()), job.lastRun() + 1));
            starter.planStart();
        }

        @Override
        public void capacityFound() {
            starter.planStart();
        }

        @Override
        public void firstListed(HeldEndpoint endpoint) {
            recovering.adoptFrom(endpoint);
        }

        @Override
        public void fenced(FailureDomain shard) {
            token(shard).ifPresent(token -> {
                release(shard);
                listener.fenced(shard, token);
            });
        }
    }
}
