package org.tarragonarch.core.shard;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.tarragonarch.core.placing.ForwardingPlacementObserver;
import org.tarragonarch.core.placing.OriginAuthority;
import org.tarragonarch.core.placing.Placer;
import org.tarragonarch.core.placing.PlacerListener;
import org.tarragonarch.core.placing.PlacingSettings;
import org.tarragonarch.core.placing.RecentEnds;
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

/** The shards that this node holds, from claim to release, with the placer of their tasks. */
public final class ShardOwnership {
    /**
     * How long the free capacity of the held shards is cached, in milliseconds. Each job needs it, but only to choose
     * between several holders, and that of peers is updated ten times less often.
     */
    private static final long HELD_CACHE_MILLIS = 20;

    private final ShardPools pools;
    private final HolderElection election;
    private final EndpointList endpoints;
    private final PlacingSettings settings;
    private final EndpointOrders orders;
    private final Timers timers;
    private final LongSupplier wallMillis;
    private final OriginAuthority authority;
    private final ShardOwnershipListener events;
    private final EndpointListStability listStability;
    private final Relay relay;
    private final RunTimes runTimes = new RunTimes();
    private final RecentEnds recentEnds;
    private final Map<FailureDomain, Long> claimedAtMillis = new HashMap<>();
    private Optional<Placer> placer = Optional.empty();
    private ImmutableList<HeldShard> held = ImmutableList.of();
    private long heldValidUntilMillis = Long.MIN_VALUE;

    /**
     * Creates the ownership of a node that holds nothing.
     *
     * @param pools all shards, grouped by holder
     * @param wallMillis the time of day in milliseconds, from which terms that increase over restarts are derived
     * @param authority until when this node may act for the jobs of an origin
     */
    public ShardOwnership(
            ShardPools pools,
            HolderElection election,
            EndpointList endpoints,
            PlacingSettings settings,
            EndpointOrders orders,
            Timers timers,
            LongSupplier wallMillis,
            OriginAuthority authority,
            ShardOwnershipListener events) {
        this.pools = checkNotNull(pools, "pools");
        this.election = checkNotNull(election, "election");
        this.endpoints = checkNotNull(endpoints, "endpoints");
        this.settings = checkNotNull(settings, "settings");
        this.orders = checkNotNull(orders, "orders");
        this.timers = checkNotNull(timers, "timers");
        this.recentEnds = new RecentEnds(timers);
        this.wallMillis = checkNotNull(wallMillis, "wallMillis");
        this.authority = checkNotNull(authority, "authority");
        this.events = checkNotNull(events, "events");
        this.relay = new Relay(events);
        this.listStability = new EndpointListStability(endpoints);
    }

    /** Claims and releases shards as the election decides; returns whether anything changed. */
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
            } else if ((election.shouldClaim(shard, timers.nowMillis()) || shouldClaimAgain(shard)) && isListUsable()) {
                claim(shard);
                changed = true;
            }
        }
        return changed;
    }

    /**
     * Returns whether a held shard must be claimed under a higher token.
     *
     * <p>The shard is held all the time: a status without it, sent between a release and the next claim, would make
     * another node claim it, and the two would surpass each other's tokens in turn. While there are jobs, the present
     * token is kept: it may be that of their runs.
     */
    private boolean shouldClaimAgain(FailureDomain shard) {
        return election.isSurpassed(shard, timers.nowMillis())
                && placer.orElseThrow().isIdle();
    }

    private boolean isListUsable() {
        return !endpoints.isEmpty() && endpoints.isFresh(timers.nowMillis());
    }

    /** Lets the placer review the running tasks; to be called a few times a second. */
    public void reviewRuns() {
        placer.ifPresent(Placer::review);
    }

    /** Releases every shard because this node leaves. */
    public void resignAll() {
        heldShards().forEach(this::resign);
    }

    /** Updates pools and placer after a change of the list of endpoints. */
    public void endpointsChanged() {
        pools.review();
        listStability.update(pools.shards(), timers.nowMillis());
        heldShards().forEach(shard -> placer.orElseThrow().update(shard, endpointsThatMayRunTasks(shard)));
    }

    /**
     * Returns the endpoints that may run tasks: the listed ones and, for some time after the claim, departed ones.
     *
     * <p>An endpoint that departs later was polled since the claim, so that no run of an earlier holder is left there.
     */
    private ImmutableList<EndpointEntry> endpointsThatMayRunTasks(FailureDomain shard) {
        boolean isNew = timers.nowMillis() - claimedAtMillis.get(shard) < DepartedEndpoints.RETENTION_MILLIS;
        return isNew ? endpoints.inDomainWithDeparted(shard) : endpoints.inDomain(shard);
    }

    /** Tells the placer that a message from an origin arrived. */
    public void messageReceivedFrom(NodeId node) {
        placer.ifPresent(current -> current.messageReceivedFrom(node));
    }

    /** Tells the placer that a connection with an origin was lost. */
    public void connectionLost(NodeId node) {
        placer.ifPresent(current -> current.connectionLost(node));
    }

    /** Ends the jobs of an origin that was lost. */
    public void nodeLost(NodeId node) {
        placer.ifPresent(current -> current.originLost(node));
    }

    /** Returns the placer of the shards that this node holds; empty if it holds none. */
    public Optional<Placer> placer() {
        return placer.filter(current -> !current.shards().isEmpty());
    }

    /** Returns whether the list of endpoints has been read since the last claim. */
    public boolean isListReadSinceClaims() {
        return heldShards().stream().allMatch(shard -> endpoints.isReadSince(claimedAtMillis.get(shard)));
    }

    /** Returns a summary of the speeds of the endpoints held here. */
    public SpeedSummary speedSummary() {
        return placer.map(Placer::speeds).orElse(SpeedSummary.NONE);
    }

    /** Returns the shards that this node holds. */
    public ImmutableSet<FailureDomain> heldShards() {
        return placer.map(Placer::shards).orElse(ImmutableSet.of());
    }

    /** Returns whether this node holds any shard. */
    public boolean isHolding() {
        return placer().isPresent();
    }

    /** Returns the held shards as described in this node's status; their free capacity is up to 20 ms old. */
    public ImmutableList<HeldShard> held() {
        if (placer().isEmpty()) {
            return ImmutableList.of();
        }
        long now = timers.nowMillis();
        if (now >= heldValidUntilMillis) {
            heldValidUntilMillis = now + HELD_CACHE_MILLIS;
            held = describeHeld(placer.get());
        }
        return held;
    }

    private static ImmutableList<HeldShard> describeHeld(Placer placer) {
        ImmutableList.Builder<HeldShard> all = ImmutableList.builder();
        placer.shards().forEach(shard -> all.add(held(placer, shard)));
        return all.build();
    }

    private void invalidateHeld() {
        heldValidUntilMillis = Long.MIN_VALUE;
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
            placer = Optional.of(
                    new Placer(settings, orders, timers, relay, runTimes, recentEnds, authority, this::isListComplete));
        }
        claimedAtMillis.put(shard, timers.nowMillis());
        placer.get().open(shard, token, endpointsThatMayRunTasks(shard));
        invalidateHeld();
        events.claimed(shard, token, endpoints.inDomain(shard).size());
    }

    /**
     * Returns whether the list has every endpoint on which an earlier holder may have started a task.
     *
     * <p>The list must have been read since the claim: an endpoint may have joined after this node's previous reading,
     * in time for the earlier holder to start tasks there.
     */
    private boolean isListComplete(FailureDomain shard) {
        return listStability.isStable(shard, timers.nowMillis())
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
        invalidateHeld();
        Placer current = placer.orElseThrow();
        if (current.shards().size() <= 1) {
            placer = Optional.empty();
            events.allShardsReleased();
        }
        current.release(shard);
    }

    /** Forwards the events of the placer. */
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
            invalidateHeld();
            election.recordFenced(shard, timers.nowMillis());
            if (heldShards().isEmpty()) {
                placer = Optional.empty();
            }
            events.fenced(shard, token);
        }
    }
}
