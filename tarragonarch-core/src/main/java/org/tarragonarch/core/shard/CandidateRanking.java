package org.tarragonarch.core.shard;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.NodeStatus;

/**
 * Ranks this node among those that may hold a shard.
 *
 * <p>Each node works the order out alone, from what its peers said last. Nodes of the shard's pool go before all
 * others; among these the one that holds most of the pool, then the strongest, then the first by name. Outside the pool
 * holders go first, since they alone speak to everybody.
 */
final class CandidateRanking {
    /**
     * A holder hands its shards to a node of the same pool that has at least this many times its processor time.
     *
     * <p>A holder works for all endpoints of its pool. On a third of a core it falls behind in a burst that a core
     * and a half carry easily, and every caller of the domain waits. Less than twice is not worth a takeover, which
     * stops what runs.
     */
    private static final int MUCH_STRONGER = 2;

    private final NodeId own;
    private final FailureDomain ownDomain;
    private final int ownMilliCores;
    private final Set<FailureDomain> held;
    private final PeerTable peers;
    private final ShardPools pools;

    /**
     * Creates the ranking of one node.
     *
     * @param held the shards that this node holds, as they are at each call
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

    /** Returns whether nobody goes before this node. */
    boolean isHighestRanked(FailureDomain shard) {
        return higherRankedCount(shard) == 0;
    }

    /** Returns how many reachable peers rank before this node. */
    long higherRankedCount(FailureDomain shard) {
        ImmutableSet<FailureDomain> pool = pools.poolOf(shard);
        return peers.reachable().stream()
                .filter(peer -> !peer.leaving() && ranksBefore(peer, pool))
                .count();
    }

    /**
     * Returns whether a node of the pool should have what this one holds of it: because it is much stronger, or because
     * it holds more of the pool already, as when a domain that was cut off went on by itself and can be reached again.
     */
    boolean shouldYieldTo(NodeStatus peer, ImmutableSet<FailureDomain> pool) {
        if (peer.milliCores() >= MUCH_STRONGER * ownMilliCores) {
            return true;
        }
        if (ownMilliCores >= MUCH_STRONGER * peer.milliCores()) {
            return false;
        }
        long theirs = heldOf(pool, peer);
        long ours = ownHeldOf(pool);
        return theirs > ours || theirs == ours && theirs > 0 && peer.node().compareTo(own) < 0;
    }

    private boolean ranksBefore(NodeStatus peer, ImmutableSet<FailureDomain> pool) {
        boolean peerIsNear = pool.contains(peer.domain());
        if (peerIsNear != pool.contains(ownDomain)) {
            return peerIsNear;
        }
        if (!peerIsNear && peer.shards().isEmpty() != held.isEmpty()) {
            return held.isEmpty();
        }
        long theirs = heldOf(pool, peer);
        long ours = ownHeldOf(pool);
        if (theirs != ours) {
            return theirs > ours;
        }
        if (peer.milliCores() != ownMilliCores) {
            return peer.milliCores() > ownMilliCores;
        }
        return peer.node().compareTo(own) < 0;
    }

    private static long heldOf(ImmutableSet<FailureDomain> pool, NodeStatus peer) {
        long count = 0;
        for (HeldShard shard : peer.shards()) {
            count += pool.contains(shard.domain()) ? 1 : 0;
        }
        return count;
    }

    private long ownHeldOf(ImmutableSet<FailureDomain> pool) {
        return held.stream().filter(pool::contains).count();
    }
}
