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
import org.tarragonarch.core.speed.EndpointSpeed;
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
 * <p>One thread calls every method, and every reply of the ports comes on it.
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
        checkNotNull(runTimes, "runTimes");
        this.shards = new HeldShards(checkNotNull(wholeList, "wholeList"));
        PoolCapacity capacity = new PoolCapacity(shards.endpoints());
        PendingShares pending = new PendingShares();
        PoolShares poolShares = new PoolShares(
                settings.shares(),
                shards.tallies(),
                share -> pending.jobsOf(share).waitingMilliCores());
        this.shareReview = new ShareReview(poolShares, capacity, timers, listener);
        this.jobs = new JobLifecycle(shards, pending, poolShares, capacity, runTimes, timers, listener);
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
        jobs.evictUnplaceable();
        jobs.scheduleStart();
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
            jobs.scheduleStart();
        });
    }

    /**
     * Takes a job, or declines it at once.
     *
     * <p>A job that is known already was sent again by its client; it goes on, and the node that offers it now gets the
     * verdict.
     */
    public void offer(Offer offer) {
        jobs.offer(offer);
    }

    /** Ends a job whose client has left or cancelled it; nothing is said of it any more. */
    public void withdraw(NodeId origin, JobId id) {
        jobs.withdraw(origin, id);
    }

    /**
     * Ends every job that a node has offered but those that it still has open here.
     *
     * <p>Guards against a job that runs on after its withdrawal was lost with a connection, or after its node took this
     * holder for lost: it is offered elsewhere, and its tasks would run twice.
     */
    public void retain(NodeId origin, Set<JobId> open) {
        jobs.retain(origin, open);
    }

    /**
     * Ends every job of a node that is gone.
     *
     * <p>Guards against a job that its client sends again, to another node, while it still runs here: the node's death
     * breaks the client's connection, and the client comes back after its pause.
     */
    public void originLost(NodeId origin) {
        jobs.originLost(origin);
    }

    /** Notes that a node was heard, so that it still has open here what it has not withdrawn. */
    public void originHeard(NodeId origin) {
        jobs.originHeard(origin);
    }

    /** Looks for runs that stall, and compares the speeds of endpoints; to be called a few times a second. */
    public void review() {
        shards.endpoints().forEach(HeldEndpoint::restartOverdueRuns);
        shareReview.review();
        shards.normalizeSpeeds();
        shards.endpoints().forEach(this::reportSpeed);
        jobs.scheduleStart();
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
        jobs.returnAll();
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

    /** What becomes of jobs by the ends of their runs. */
    private final class Results implements RunResults.Host {
        @Override
        public boolean closed() {
            return closed;
        }

        @Override
        public void settle(PlacedJob job, Verdict verdict) {
            jobs.settle(job, verdict);
        }

        @Override
        public void requeue(PlacedJob job) {
            jobs.requeue(job);
        }

        @Override
        public void awaitOrigin(PlacedTask task) {
            jobs.awaitOrigin(task);
        }

        @Override
        public void capacityReleased(PlacedJob job) {
            jobs.capacityReleased(job);
        }

        @Override
        public void capacityFound() {
            jobs.scheduleStart();
        }

        @Override
        public void firstListed(HeldEndpoint endpoint) {
            jobs.adoptFrom(endpoint);
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
