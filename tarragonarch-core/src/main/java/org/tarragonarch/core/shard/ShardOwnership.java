package org.tarragonarch.core.shard;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.tarragonarch.core.placing.ForwardingPlacementObserver;
import org.tarragonarch.core.placing.Placer;
import org.tarragonarch.core.placing.PlacerListener;
import org.tarragonarch.core.placing.PlacingSettings;
import org.tarragonarch.core.placing.RunTimes;
import org.tarragonarch.core.speed.SpeedSummary;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Timers;
import org.tarragonarch.model.task.Verdict;

/** The shards that this node holds, with the placer for all of them, from claim to resignation. */
public final class ShardOwnership {
    /**
     * How long the free room of the shards held here is not added up anew: it is asked for with every job, and only
     * tells which of several holders goes first. Peers tell theirs ten times less often.
     */
    private static final long HELD_FOR_MILLIS = 20;

    private final ShardPools pools;
    private final HolderElection election;
    private final EndpointList endpoints;
    private final PlacingSettings settings;
    private final EndpointOrders orders;
    private final Timers timers;
    private final LongSupplier wallMillis;
    private final ShardOwnershipListener events;
    private final EndpointListStability steadyLists;
    private final Relay relay;
    private final RunTimes runTimes = new RunTimes();
    private final Map<FailureDomain, Long> claimedAtMillis = new HashMap<>();
    private Optional<Placer> placer = Optional.empty();
    private ImmutableList<HeldShard> held = ImmutableList.of();
    private long heldUntilMillis = Long.MIN_VALUE;

    /**
     * Creates the ownership of a node that holds nothing.
     *
     * @param pools all shards, and which of them go together
     * @param wallMillis the time of day, for terms that rise over restarts
     */
    public ShardOwnership(
            ShardPools pools,
            HolderElection election,
            EndpointList endpoints,
            PlacingSettings settings,
            EndpointOrders orders,
            Timers timers,
            LongSupplier wallMillis,
            ShardOwnershipListener events) {
        this.pools = checkNotNull(pools, "pools");
        this.election = checkNotNull(election, "election");
        this.endpoints = checkNotNull(endpoints, "endpoints");
        this.settings = checkNotNull(settings, "settings");
        this.orders = checkNotNull(orders, "orders");
        this.timers = checkNotNull(timers, "timers");
        this.wallMillis = checkNotNull(wallMillis, "wallMillis");
        this.events = checkNotNull(events, "events");
        this.relay = new Relay(events);
        this.steadyLists = new EndpointListStability(endpoints);
    }

    /** Claims what has no holder and releases what another should hold; returns whether anything changed. */
    public boolean review() {
        pools.review();
        boolean changed = false;
        for (FailureDomain shard : pools.shards()) {
            if (election.shouldResign(shard, timers.nowMillis())) {
                resign(shard);
                changed = true;
            } else if (isUnreachable(shard)) {
                resign(shard);
                election.resignUnreachable(shard, timers.nowMillis());
                changed = true;
            } else if (election.shouldClaim(shard, timers.nowMillis()) && listUsable()) {
                claim(shard);
                changed = true;
            }
        }
        return changed;
    }

    private boolean listUsable() {
        return !endpoints.isEmpty() && endpoints.isFresh(timers.nowMillis());
    }

    /** Lets the placer look after what runs; to be called a few times a second. */
    public void reviewRuns() {
        placer.ifPresent(Placer::review);
    }

    /** Releases every shard, because this node leaves. */
    public void resignAll() {
        heldShards().forEach(this::resign);
    }

    /** Passes the list of endpoints on to the placer. */
    public void endpointsChanged() {
        pools.review();
        steadyLists.update(pools.shards(), timers.nowMillis());
        heldShards().forEach(shard -> placer.orElseThrow().update(shard, mayRun(shard)));
    }

    /**
     * Returns the endpoints on which something may run: those that are listed, and in the first seconds after the claim
     * those that departed. What departs later was read since the claim: nothing of an earlier holder runs there.
     */
    private ImmutableList<EndpointEntry> mayRun(FailureDomain shard) {
        boolean isNew = timers.nowMillis() - claimedAtMillis.get(shard) < DepartedEndpoints.RETENTION_MILLIS;
        return isNew ? endpoints.inDomainWithDeparted(shard) : endpoints.inDomain(shard);
    }

    /** Notes that a node was heard. */
    public void nodeHeard(NodeId node) {
        placer.ifPresent(current -> current.originHeard(node));
    }

    /** Ends the jobs of a node that is gone. */
    public void nodeLost(NodeId node) {
        placer.ifPresent(current -> current.originLost(node));
    }

    /** Returns the placer of the shards that this node holds, if it holds any. */
    public Optional<Placer> placer() {
        return placer.filter(current -> !current.shards().isEmpty());
    }

    /** Returns whether the list of endpoints was read since each claim. */
    public boolean isListReadSinceClaims() {
        return heldShards().stream().allMatch(shard -> endpoints.isReadSince(claimedAtMillis.get(shard)));
    }

    /** Returns how fast the endpoints held here are. */
    public SpeedSummary speedSummary() {
        return placer.map(Placer::speeds).orElse(SpeedSummary.NONE);
    }

    /** Returns which shards this node holds. */
    public ImmutableSet<FailureDomain> heldShards() {
        return placer.map(Placer::shards).orElse(ImmutableSet.of());
    }

    /** Returns whether this node holds any shard. */
    public boolean isHolding() {
        return placer().isPresent();
    }

    /** Returns the shards that this node holds, as it tells its peers, with the room that was free a moment ago. */
    public ImmutableList<HeldShard> held() {
        if (placer().isEmpty()) {
            return ImmutableList.of();
        }
        long now = timers.nowMillis();
        if (now >= heldUntilMillis) {
            heldUntilMillis = now + HELD_FOR_MILLIS;
            held = heldBy(placer.get());
        }
        return held;
    }

    private static ImmutableList<HeldShard> heldBy(Placer placer) {
        ImmutableList.Builder<HeldShard> all = ImmutableList.builder();
        placer.shards().forEach(shard -> all.add(held(placer, shard)));
        return all.build();
    }

    private void heldChanged() {
        heldUntilMillis = Long.MIN_VALUE;
    }

    private static HeldShard held(Placer placer, FailureDomain shard) {
        return new HeldShard(
                shard, placer.token(shard).orElseThrow(), placer.freeMilliCores(shard), placer.shareUses(shard));
    }

    private boolean isUnreachable(FailureDomain shard) {
        return !election.isOwnDomain(shard)
                && placer.filter(current -> current.isUnreachable(shard)).isPresent();
    }

    private void claim(FailureDomain shard) {
        FencingToken token = election.claim(shard, wallMillis.getAsLong());
        if (placer.isEmpty()) {
            placer = Optional.of(new Placer(settings, orders, timers, relay, runTimes, this::isWhole));
        }
        claimedAtMillis.put(shard, timers.nowMillis());
        placer.get().open(shard, token, mayRun(shard));
        heldChanged();
        events.claimed(shard, token, endpoints.inDomain(shard).size());
    }

    /**
     * Returns whether the list has every endpoint on which an earlier holder may have started something.
     *
     * <p>That one may have read of an endpoint which has joined since this node's last reading before the claim.
     */
    private boolean isWhole(FailureDomain shard) {
        return steadyLists.isStable(shard, timers.nowMillis())
                && endpoints.areDeparturesKnown(timers.nowMillis())
                && endpoints.isReadSince(claimedAtMillis.getOrDefault(shard, Long.MAX_VALUE));
    }

    private void resign(FailureDomain shard) {
        election.resign(shard);
        placer.flatMap(current -> current.token(shard)).ifPresent(token -> {
            events.resigned(shard, token);
            release(shard);
        });
    }

    private void release(FailureDomain shard) {
        heldChanged();
        Placer current = placer.orElseThrow();
        if (current.shards().size() <= 1) {
            placer = Optional.empty();
            events.releasedAll();
        }
        current.release(shard);
    }

    /** Passes on what the placer says. */
    private final class Relay extends ForwardingPlacementObserver implements PlacerListener {
        Relay(ShardOwnershipListener events) {
            super(events);
        }

        @Override
        public void settled(NodeId origin, JobId job, Verdict verdict, long retryMillis) {
            events.settled(origin, job, verdict, retryMillis);
        }

        @Override
        public void fenced(FailureDomain shard, FencingToken token) {
            heldChanged();
            election.recordFenced(shard, timers.nowMillis());
            if (heldShards().isEmpty()) {
                placer = Optional.empty();
            }
            events.fenced(shard, token);
        }
    }
}
