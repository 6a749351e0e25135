package org.tarragonarch.core.placing;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.tarragonarch.core.share.PoolShares;
import org.tarragonarch.core.share.ShareState;
import org.tarragonarch.core.speed.SpeedSummary;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.share.ShareUse;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.Timers;
import org.tarragonarch.model.task.Verdict;

/**
 * Places the tasks of jobs on the endpoints of the shards that this node holds, as one pool.
 *
 * <p>Not thread-safe: all methods must be called, and all replies of the ports delivered, on one thread.
 */
public final class Placer {
    private final PlacingSettings settings;
    private final EndpointOrders orders;
    private final Timers timers;
    private final PlacerListener listener;
    private final HeldShards shards;
    private final ShareReview shareReview;
    private final ProgressReports progress = new ProgressReports();
    private final JobLifecycle jobs;
    private final RunResults results;
    private final OriginAuthority authority;
    private final TasksAwaitingOrigin awaitingOrigin;
    private boolean closed;

    /**
     * Creates a placer that holds no shard yet.
     *
     * @param runTimes the recorded run times of every queue; outlives this placer
     * @param authority until when this node may act for the jobs of an origin
     * @param hasCompleteList returns whether the list of endpoints of a shard is known to be complete
     */
    public Placer(
            PlacingSettings settings,
            EndpointOrders orders,
            Timers timers,
            PlacerListener listener,
            RunTimes runTimes,
            OriginAuthority authority,
            Predicate<FailureDomain> hasCompleteList) {
        this.settings = checkNotNull(settings, "settings");
        this.orders = checkNotNull(orders, "orders");
        this.timers = checkNotNull(timers, "timers");
        this.listener = checkNotNull(listener, "listener");
        checkNotNull(runTimes, "runTimes");
        this.authority = checkNotNull(authority, "authority");
        this.awaitingOrigin = new TasksAwaitingOrigin(authority, listener);
        this.shards = new HeldShards(checkNotNull(hasCompleteList, "hasCompleteList"));
        PoolCapacity capacity = new PoolCapacity(shards.endpoints());
        PendingShares pending = new PendingShares();
        PoolShares poolShares = new PoolShares(
                settings.shares(),
                shards.tallies(),
                share -> pending.jobsOf(share).waitingMilliCores());
        this.shareReview = new ShareReview(poolShares, capacity, timers, listener);
        RecentCrashes crashes = new RecentCrashes();
        JobFactory factory = new JobFactory(shards, runTimes, poolShares, crashes, timers);
        this.jobs = new JobLifecycle(shards, pending, poolShares, capacity, factory, awaitingOrigin, timers, listener);
        this.results = new RunResults(runTimes, crashes, timers, listener, new Results());
    }

    /** Returns whether there are neither jobs nor runs of ended ones, so that no run depends on a held token. */
    public boolean isIdle() {
        return jobs.isEmpty();
    }

    /**
     * Starts to hold a shard. If this placer is idle, the shard may be one that is held under a lower token: its
     * endpoints are read again, because runs of another holder may have started there meanwhile.
     *
     * @param token the token under which this node holds the shard's endpoints
     */
    public void open(FailureDomain shard, FencingToken token, Collection<EndpointEntry> listed) {
        checkState(!closed && (isIdle() || shards.find(shard).isEmpty()), "shard %s is in use, or all closed", shard);
        shards.remove(shard).ifPresent(PlacedShard::close);
        shards.add(shard, new PlacedShard(token, settings, orders, timers, authority, results, progress));
        update(shard, listed);
    }

    /** Returns the token under which this node holds the shard; empty if it does not hold it. */
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
        jobs.evictUnplaceable();
        jobs.scheduleStart();
    }

    /**
     * Releases one shard. The leases of its runs are no longer renewed, and their tasks start elsewhere when these have
     * certainly expired. If no other shard is held, the placer is closed and its jobs are returned.
     */
    public void release(FailureDomain shard) {
        if (shards.domains().equals(Set.of(shard))) {
            close();
            return;
        }
        shards.remove(shard).ifPresent(gone -> {
            gone.abandon();
            jobs.scheduleStart();
        });
    }

    /**
     * Admits or declines a job.
     *
     * <p>An offer of a job that is placed here already means that its client resubmitted it: the job continues, and the
     * node that offers it now gets the verdict.
     */
    public void offer(Offer offer) {
        jobs.offer(offer);
    }

    /** Ends a job whose client has disconnected or cancelled it; no verdict is sent. */
    public void withdraw(NodeId origin, JobId id) {
        jobs.withdraw(origin, id);
    }

    /**
     * Ends every job of an origin except those that it still has open at this holder.
     *
     * <p>Guards against a job that continues to run after its withdrawal was lost with a connection, or after its
     * origin took this holder for lost: the job is offered elsewhere, and its tasks would run twice.
     */
    public void retain(NodeId origin, Set<JobId> open) {
        jobs.retain(origin, open);
    }

    /**
     * Ends every job of an origin that is lost.
     *
     * <p>Guards against a job that still runs here while its client resubmits it through another node, after the
     * connection to the lost origin broke.
     */
    public void originLost(NodeId origin) {
        jobs.originLost(origin);
    }

    /**
     * Keeps the waiting tasks of an origin from starting until the next message from it arrives.
     *
     * <p>Guards against a task that runs twice: the origin may have closed the connection because it took this node for
     * lost, and the first message on the next one tells which of its jobs are still open here.
     */
    public void connectionLost(NodeId origin) {
        jobs.connectionLost(origin);
    }

    /** Records a message from a node, which shows that it still has open every job that it has not withdrawn. */
    public void messageReceivedFrom(NodeId origin) {
        jobs.messageReceivedFrom(origin);
    }

    /**
     * Stops runs without authority, restarts stalled runs and updates the states of shares and the speeds of endpoints;
     * to be called a few times a second.
     */
    public void review() {
        jobs.stopRunsWithoutAuthority();
        shards.endpoints().forEach(HeldEndpoint::restartOverdueRuns);
        shareReview.review();
        shards.normalizeSpeeds();
        shards.reportSpeeds(listener);
        jobs.scheduleStart();
    }

    /**
     * Releases every shard. Runs are left to the next holder or to the end of their leases.
     *
     * <p>A job that never started is returned with a verdict that says so: it can be offered anywhere at once, and its
     * client can be told that it has not run.
     */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        shards.closeAll();
        jobs.returnAll();
    }

    /** Returns the free processor time of the endpoints of a shard that accept tasks, in thousandths of a core. */
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

    /** Returns whether no endpoint of the shard has answered for longer than the timeout. */
    public boolean isUnreachable(FailureDomain shard) {
        return shards.find(shard).filter(PlacedShard::isUnreachable).isPresent();
    }

    /** Returns a summary of the speeds of all endpoints. */
    public SpeedSummary speeds() {
        return SpeedSummary.of(Iterables.transform(shards.endpoints(), HeldEndpoint::speed));
    }

    /** Applies the results of runs to their jobs. */
    private final class Results implements RunResults.Host {
        @Override
        public boolean isClosed() {
            return closed;
        }

        @Override
        public void finish(PlacedJob job) {
            jobs.settle(job, Verdict.DONE);
        }

        @Override
        public void abandon(PlacedTask task, AbandonGround ground) {
            jobs.abandon(task, ground);
        }

        @Override
        public void requeue(PlacedJob job) {
            jobs.requeue(job);
        }

        @Override
        public void recoverAgain(PlacedJob job) {
            jobs.recovering().addAgain(job);
        }

        @Override
        public void awaitOrigin(PlacedTask task) {
            awaitingOrigin.add(task);
        }

        @Override
        public void capacityReleased(PlacedJob job) {
            jobs.capacityReleased(job);
        }

        @Override
        public void capacityAdded() {
            jobs.scheduleStart();
        }

        @Override
        public void firstListRead(HeldEndpoint endpoint) {
            jobs.recovering().adoptFrom(endpoint);
        }

        @Override
        public void shardFenced(FailureDomain shard) {
            token(shard).ifPresent(token -> {
                release(shard);
                listener.fenced(shard, token);
            });
        }
    }
}
