package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.tarragonarch.core.routing.Holder;
import org.tarragonarch.core.routing.HolderCapacity;
import org.tarragonarch.core.shard.PeerTable;
import org.tarragonarch.core.shard.ShardPools;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.Timers;

/**
 * Estimates the free capacity of the holders of other failure domains nearby, from their last statuses and what this
 * node has offered them since.
 *
 * <p>Guards against every job going to the same holder until its next status shows that it is full.
 */
final class NeighbourCapacity {
    /** The maximum age of a status that is used, in milliseconds: two periods, so that one status may be lost. */
    private static final long MAX_STATUS_AGE_MILLIS = 2 * PeerTable.STATUS_PERIOD_MILLIS;

    private final FailureDomain ownDomain;
    private final PeerTable peers;
    private final ShardPools pools;
    private final Timers timers;
    private final Predicate<FailureDomain> isDrained;
    private final Map<NodeId, Debit> debits = new HashMap<>();

    NeighbourCapacity(
            FailureDomain ownDomain,
            PeerTable peers,
            ShardPools pools,
            Timers timers,
            Predicate<FailureDomain> isDrained) {
        this.ownDomain = ownDomain;
        this.peers = peers;
        this.pools = pools;
        this.timers = timers;
        this.isDrained = isDrained;
    }

    /** Returns the holders with at least this much free capacity, in thousandths of a core. */
    ImmutableList<HolderCapacity> holdersWithCapacity(long milliCores) {
        ImmutableList.Builder<HolderCapacity> holders = ImmutableList.builder();
        for (NodeStatus status : peers.holders()) {
            Debit debit = debit(status.node());
            long free = freeMilliCores(status) - debit.offeredMilliCores();
            if (free >= milliCores && debit.maxJobMilliCores() >= milliCores && isFresh(status)) {
                holders.add(new HolderCapacity(new Holder(status.node(), status.shards()), free));
            }
        }
        return holders.build();
    }

    /** Deducts an offered job from the holder's free capacity until its next status. */
    void recordOffer(NodeId holder, long milliCores) {
        Debit debit = debit(holder);
        debits.put(
                holder,
                new Debit(debit.statusAtMillis(), debit.offeredMilliCores() + milliCores, debit.maxJobMilliCores()));
    }

    /** Excludes a holder for jobs of this size and larger ones until its next status. */
    void recordRefusal(NodeId holder, long milliCores) {
        Debit debit = debit(holder);
        long maxJobMilliCores = Math.min(debit.maxJobMilliCores(), milliCores - 1);
        debits.put(holder, new Debit(debit.statusAtMillis(), debit.offeredMilliCores(), maxJobMilliCores));
    }

    private boolean isFresh(NodeStatus status) {
        long age = timers.nowMillis() - peers.lastStatusMillis(status.node()).orElseThrow();
        return !status.leaving() && age <= MAX_STATUS_AGE_MILLIS;
    }

    /**
     * Returns the free processor time in the nearby shards of a holder that are not drained, in thousandths of a core;
     * 0 if it holds this node's own failure domain.
     */
    private long freeMilliCores(NodeStatus status) {
        long free = 0;
        for (HeldShard held : status.shards()) {
            if (held.domain().equals(ownDomain)) {
                return 0;
            }
            boolean usable = !isDrained.test(held.domain()) && pools.areInSameRegion(ownDomain, held.domain());
            free += usable ? held.freeMilliCores() : 0;
        }
        return free;
    }

    private Debit debit(NodeId holder) {
        long statusAt = peers.lastStatusMillis(holder).orElse(0);
        Debit known = debits.get(holder);
        return known != null && known.statusAtMillis() == statusAt ? known : new Debit(statusAt, 0, Long.MAX_VALUE);
    }

    /**
     * The offers to a holder, and its refusals, since its last status.
     *
     * @param statusAtMillis when the last status was received, on the steady clock
     * @param offeredMilliCores the processor time of the jobs offered, in thousandths of a core
     * @param maxJobMilliCores the size of the largest job that may be offered to the holder, in thousandths of a core
     */
    private record Debit(long statusAtMillis, long offeredMilliCores, long maxJobMilliCores) {}
}
