package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.tarragonarch.core.placing.OriginAuthority;
import org.tarragonarch.core.routing.Holder;
import org.tarragonarch.core.routing.HolderCapacity;
import org.tarragonarch.core.routing.Holders;
import org.tarragonarch.core.shard.Heartbeats;
import org.tarragonarch.core.shard.PeerTable;
import org.tarragonarch.core.shard.ShardOwnership;
import org.tarragonarch.core.shard.ShardPools;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.report.StatusNumber;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.Timers;

/** The holders known from this node's own shards and from the statuses of its peers. */
final class KnownHolders implements Holders {
    private final Member self;
    private final PeerTable peers;
    private final ShardPools pools;
    private final ShardOwnership ownership;
    private final Heartbeats heartbeats;
    private final PeerSender sender;
    private final OriginAuthority authority;
    private final Timers timers;
    private final Consumer<Offer> ownOffers;
    private final Predicate<FailureDomain> isDrained;
    private final NeighbourCapacity neighbourCapacity;

    /**
     * Creates the view of one node.
     *
     * @param authority until when this node may act for its own jobs
     * @param ownOffers receives the offers to this node itself
     * @param isDrained returns whether operators have drained a failure domain
     */
    KnownHolders(
            Member self,
            PeerTable peers,
            ShardPools pools,
            ShardOwnership ownership,
            Heartbeats heartbeats,
            PeerSender sender,
            OriginAuthority authority,
            Timers timers,
            Consumer<Offer> ownOffers,
            Predicate<FailureDomain> isDrained) {
        this.self = self;
        this.peers = peers;
        this.pools = pools;
        this.ownership = ownership;
        this.heartbeats = heartbeats;
        this.sender = sender;
        this.authority = authority;
        this.timers = timers;
        this.ownOffers = ownOffers;
        this.isDrained = isDrained;
        this.neighbourCapacity = new NeighbourCapacity(self.domain(), peers, pools, timers, isDrained);
    }

    @Override
    public NodeId ownNode() {
        return self.node();
    }

    /**
     * {@inheritDoc}
     *
     * <p>Empty just after a pause of this process: the client of a job may have left, and have submitted it elsewhere.
     */
    @Override
    public ImmutableList<Holder> inPreferenceOrder() {
        if (authority.endsAtMillis(ownNode()) < timers.nowMillis()) {
            return ImmutableList.of();
        }
        ImmutableList.Builder<Holder> holders = ImmutableList.builder();
        ImmutableList<HeldShard> held = ownership.held();
        if (!held.isEmpty()) {
            holders.add(new Holder(ownNode(), held));
        }
        peers.holders().stream()
                .filter(status -> isHeardRecently(status.node()))
                .map(status -> new Holder(status.node(), status.shards()))
                .forEach(holders::add);
        Comparator<Holder> drainedLast =
                Comparator.comparing(holder -> holder.domains().stream().allMatch(isDrained));
        Comparator<Holder> ownDomainFirst = Comparator.comparing(holder -> !holder.holds(self.domain()));
        Comparator<Holder> mostFreeFirst = Comparator.comparing(holder -> -holder.freeMilliCores());
        return ImmutableList.sortedCopyOf(
                drainedLast.thenComparing(ownDomainFirst).thenComparing(mostFreeFirst), holders.build());
    }

    /** Returns whether a peer sent its status recently; one that fell silent is lost at the next review. */
    private boolean isHeardRecently(NodeId peer) {
        return peers.lastStatusMillis(peer).orElseThrow() >= timers.nowMillis() - PeerTable.SILENCE_MILLIS;
    }

    @Override
    public ImmutableList<HolderCapacity> neighboursWithCapacity(long milliCores) {
        return neighbourCapacity.holdersWithCapacity(milliCores);
    }

    @Override
    public void notStartedAtOnce(Holder holder, long milliCores) {
        neighbourCapacity.recordRefusal(holder.node(), milliCores);
    }

    @Override
    public boolean holdsOwnDomain(Holder holder) {
        return holder.holds(self.domain());
    }

    @Override
    public StatusNumber lastStatus(NodeId node) {
        return peers.lastNumber(node);
    }

    @Override
    public long lastContactMillis(Holder holder) {
        return peers.lastStatusMillis(holder.node()).orElseGet(timers::nowMillis);
    }

    /**
     * Returns all shards of the pools in which the holder had a shard.
     *
     * <p>Guards against a job whose tasks run twice when two nodes have claimed the same shards, as can happen while
     * all nodes restart after a loss of power. Peers know only those shards of a holder for which no other node has a
     * higher token, and may not know at all of shards that it claims just before it is lost.
     */
    @Override
    public ImmutableSet<FailureDomain> shardsWithPossibleRuns(Holder lost) {
        ImmutableSet.Builder<FailureDomain> shards = ImmutableSet.builder();
        lost.domains().forEach(shard -> shards.add(shard).addAll(pools.poolOf(shard)));
        return shards.build();
    }

    /**
     * {@inheritDoc}
     *
     * <p>Guards against a job whose tasks run twice while two nodes repeatedly claim the same shards from each other. A
     * holder that was fenced and has claimed again continues its jobs under a higher token. The other node does not
     * detect this on endpoints where it has no runs, and a comparison with the lost holder's token at the time of the
     * offer does not show it either, because that token is too old.
     */
    @Override
    public boolean hasNewestTokens(Holder holder, ImmutableSet<FailureDomain> shards) {
        return holder.domains().containsAll(shards)
                && holder.shards().stream()
                        .filter(held -> shards.contains(held.domain()))
                        .allMatch(held -> peers.isHighestToken(held.domain(), held.token()));
    }

    @Override
    public boolean isHolderExpected() {
        return heartbeats.isHolderExpected(timers.nowMillis());
    }

    @Override
    public boolean isHolderUnreachable() {
        return peers.isPartitioned() && ownership.heldShards().isEmpty();
    }

    @Override
    public void offer(Holder holder, Offer offer) {
        if (!holder.node().equals(ownNode())) {
            neighbourCapacity.recordOffer(holder.node(), offer.job().milliCores());
            sender.sendOffer(holder.node(), offer.withLastStatus(lastStatus(holder.node())));
            return;
        }
        ownOffers.accept(offer);
    }

    @Override
    public void withdraw(Holder holder, JobId job) {
        if (!holder.node().equals(ownNode())) {
            sender.sendWithdrawal(holder.node(), job);
            return;
        }
        ownership.placer().ifPresent(placer -> placer.withdraw(ownNode(), job));
    }
}
