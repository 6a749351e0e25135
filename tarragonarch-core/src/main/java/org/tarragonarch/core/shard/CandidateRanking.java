package org.tarragonarch.core.shard;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.NodeStatus;

/**
 * Ranks this node among the candidates for holding a shard.
 *
 * <p>Each node computes the order alone, from the last statuses of its peers. Nodes of the shard's pool rank before all
 * others; among these the one that holds most of the pool, then the one with most processor time, then the first by
 * name. Outside the pool holders rank first, since only they send their status to every node.
 */
final class CandidateRanking {
    /**
     * Ratio of processor time from which on a holder hands its shards to a stronger node of the same pool.
     *
     * <p>A holder works for all endpoints of its pool. With a third of a core it falls behind in a burst that one and a
     * half cores handle easily, and every caller of the domain waits. A smaller ratio is not worth a change of holder,
     * which stops running tasks.
     */
    private static final int TAKEOVER_STRENGTH_RATIO = 2;

    private final NodeId own;
    private final FailureDomain ownDomain;
    private final int ownMilliCores;
    private final Set<FailureDomain> held;
    private final PeerTable peers;
    private final ShardPools pools;

    /**
     * Creates the ranking of one node.
     *
     * @param held a live view of the shards that this node holds
     */
    CandidateRanking(
            NodeId own,
            FailureDomain ownDomain,
            int ownMilliCores,
            Set<FailureDomain> held,
            PeerTable peers,
            ShardPools pools) {
        this.own = own;
        this.ownDomain = ownDomain;
        this.ownMilliCores = ownMilliCores;
        this.held = held;
        this.peers = peers;
        this.pools = pools;
    }

    /** Returns whether no reachable peer ranks before this node. */
    boolean isHighestRanked(FailureDomain shard) {
        return higherRankedCount(shard) == 0;
    }

    /** Returns the number of reachable peers, other than leaving ones, that rank before this node. */
    long higherRankedCount(FailureDomain shard) {
        ImmutableSet<FailureDomain> pool = pools.poolOf(shard);
        return peers.reachable().stream()
                .filter(peer -> !peer.leaving() && ranksBefore(peer, pool))
                .count();
    }

    /**
     * Returns whether this node should release its shards of the pool to a peer in the pool.
     *
     * <p>It should if the peer is much stronger, or if the two are comparable and the peer holds more of the pool, or
     * as much and is first by name. The latter cases occur after a network partition in which each side had its own
     * holder.
     */
    boolean shouldYieldTo(NodeStatus peer, ImmutableSet<FailureDomain> pool) {
        if (peer.milliCores() >= TAKEOVER_STRENGTH_RATIO * ownMilliCores) {
            return true;
        }
        if (ownMilliCores >= TAKEOVER_STRENGTH_RATIO * peer.milliCores()) {
            return false;
        }
        long peerCount = heldCount(pool, peer);
        long ownCount = ownHeldCount(pool);
        return peerCount > ownCount
                || peerCount == ownCount && peerCount > 0 && peer.node().compareTo(own) < 0;
    }

    private boolean ranksBefore(NodeStatus peer, ImmutableSet<FailureDomain> pool) {
        boolean peerInPool = pool.contains(peer.domain());
        if (peerInPool != pool.contains(ownDomain)) {
            return peerInPool;
        }
        if (!peerInPool && peer.shards().isEmpty() != held.isEmpty()) {
            return held.isEmpty();
        }
        long peerCount = heldCount(pool, peer);
        long ownCount = ownHeldCount(pool);
        if (peerCount != ownCount) {
            return peerCount > ownCount;
        }
        if (peer.milliCores() != ownMilliCores) {
            return peer.milliCores() > ownMilliCores;
        }
        return peer.node().compareTo(own) < 0;
    }

    private static long heldCount(ImmutableSet<FailureDomain> pool, NodeStatus peer) {
        long count = 0;
        for (HeldShard shard : peer.shards()) {
            count += pool.contains(shard.domain()) ? 1 : 0;
        }
        return count;
    }

    private long ownHeldCount(ImmutableSet<FailureDomain> pool) {
        return held.stream().filter(pool::contains).count();
    }
}
