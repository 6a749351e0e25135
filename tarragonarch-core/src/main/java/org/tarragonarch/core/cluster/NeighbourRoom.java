package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.tarragonarch.core.routing.Holder;
import org.tarragonarch.core.routing.RoomyHolder;
import org.tarragonarch.core.shard.PeerTable;
import org.tarragonarch.core.shard.ShardPools;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.Timers;

/**
 * The room that the holders of other failure domains nearby have, by their last statuses and what this node has offered
 * them since.
 *
 * <p>Guards against every job going to the same holder until its next status shows that it is full.
 */
final class NeighbourRoom {
    /** A status that is older says too little of the room there is: two periods, so one may be missed. */
    private static final long FRESH_MILLIS = 2 * PeerTable.STATUS_PERIOD_MILLIS;

    private final FailureDomain ownDomain;
    private final PeerTable peers;
    private final ShardPools pools;
    private final Timers timers;
    private final Predicate<FailureDomain> isDrained;
    private final Map<NodeId, Debit> debits = new HashMap<>();

    NeighbourRoom(
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

    /** Returns the holders with so much room, in thousandths of a core, by name. */
    ImmutableList<RoomyHolder> withRoom(long milliCores) {
        ImmutableList.Builder<RoomyHolder> roomy = ImmutableList.builder();
        for (NodeStatus status : peers.holders()) {
            Debit debit = debit(status.node());
            long free = freeMilliCores(status) - debit.milliCores();
            if (free >= milliCores && debit.mostMilliCores() >= milliCores && isFresh(status)) {
                roomy.add(new RoomyHolder(new Holder(status.node(), status.shards()), free));
            }
        }
        return roomy.build();
    }

    /** Counts room as taken until the holder's next status. */
    void offered(NodeId holder, long milliCores) {
        Debit debit = debit(holder);
        debits.put(holder, new Debit(debit.statusAtMillis(), debit.milliCores() + milliCores, debit.mostMilliCores()));
    }

    /** Takes a holder for too full for such a job, or a larger one, until its next status. */
    void refused(NodeId holder, long milliCores) {
        Debit debit = debit(holder);
        long most = Math.min(debit.mostMilliCores(), milliCores - 1);
        debits.put(holder, new Debit(debit.statusAtMillis(), debit.milliCores(), most));
    }

    private boolean isFresh(NodeStatus status) {
        long age = timers.nowMillis() - peers.statusAtMillis(status.node()).orElseThrow();
        return !status.leaving() && age <= FRESH_MILLIS;
    }

    /** Returns the free room on endpoints nearby that take work; none if it holds this node's own failure domain. */
    private long freeMilliCores(NodeStatus status) {
        long free = 0;
        for (HeldShard held : status.shards()) {
            if (held.domain().equals(ownDomain)) {
                return 0;
            }
            boolean usable = !isDrained.test(held.domain()) && pools.areNear(ownDomain, held.domain());
            free += usable ? held.freeMilliCores() : 0;
        }
        return free;
    }

    private Debit debit(NodeId holder) {
        long statusAt = peers.statusAtMillis(holder).orElse(0);
        Debit known = debits.get(holder);
        return known != null && known.statusAtMillis() == statusAt ? known : new Debit(statusAt, 0, Long.MAX_VALUE);
    }

    /**
     * What was offered to a holder since a status of it, and what it refused.
     *
     * @param statusAtMillis when that status came, on the steady clock
     * @param milliCores what was offered, in thousandths of a core
     * @param mostMilliCores the largest job that it may be offered, in thousandths of a core
     */
    private record Debit(long statusAtMillis, long milliCores, long mostMilliCores) {}
}
