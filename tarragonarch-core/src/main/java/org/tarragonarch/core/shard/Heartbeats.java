package org.tarragonarch.core.shard;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.NodeStatus;

/**
 * Decides whom this node tells its status, and how often.
 *
 * <p>Jobs pass between a holder and everybody else, so these have to miss each other within a second: a holder speaks
 * to every node, and every node to the holders, every {@value PeerTable#STATUS_PERIOD_MILLIS} ms. Nodes that hold
 * nothing matter to each other only where they may be the next holder, within the domains of one pool; they hear each
 * other every {@value PeerTable#DISTANT_PERIOD_MILLIS} ms. So what a node sends grows with the number of holders and
 * with the size of its pool, and not with that of the cluster; at a start it connects to its neighbours alone.
 *
 * <p>A node that misses the holder of a shard of its own pool says so in its status: it speaks to its neighbours often,
 * and they to it, until the next holder is known. So a holder and its successor may die at the same moment, and the one
 * after them is still found within a second.
 */
public final class Heartbeats {
    /** How long a shard may take to get its next holder: 0.2 s as a rule, a second where every node starts cold. */
    private static final long TAKEOVER_MILLIS = 1_000;

    private final PeerTable peers;
    private final ShardPools pools;
    private final FailureDomain ownDomain;
    private boolean holding;
    private boolean isWithoutHolder;
    private long withoutHolderSinceMillis;
    private long closeSentAtMillis = Long.MIN_VALUE / 2;
    private long neighboursSentAtMillis = Long.MIN_VALUE / 2;

    /** Creates the plan of a node that has sent nothing yet. */
    public Heartbeats(PeerTable peers, ShardPools pools, FailureDomain ownDomain) {
        this.peers = checkNotNull(peers, "peers");
        this.pools = checkNotNull(pools, "pools");
        this.ownDomain = checkNotNull(ownDomain, "ownDomain");
    }

    /** Returns the failure domains whose nodes may succeed this node as a holder, or this node them. */
    public ImmutableSet<FailureDomain> neighbours() {
        return pools.neighbours(ownDomain);
    }

    /** Returns the last status of every reachable neighbour. */
    public ImmutableList<NodeStatus> reachableNeighbours() {
        return peers.reachable().stream()
                .filter(peer -> neighbours().contains(peer.domain()))
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Records which shards this node holds, and which of its pool have no holder.
     *
     * @return whether peers have to be told at once, because this node has just begun to miss a holder
     */
    public boolean review(Set<FailureDomain> held, long nowMillis) {
        boolean withoutBefore = isWithoutHolder;
        holding = !held.isEmpty();
        isWithoutHolder = neighbours().stream()
                .anyMatch(shard -> !held.contains(shard) && peers.holder(shard).isEmpty());
        if (isWithoutHolder && !withoutBefore) {
            withoutHolderSinceMillis = nowMillis;
        }
        peers.expectStatusesFrom(neighbours(), holding, holding || isWithoutHolder, nowMillis);
        return isWithoutHolder && !withoutBefore;
    }

    /** Returns whether this node misses the holder of a shard of its pool. */
    public boolean isWithoutHolder() {
        return isWithoutHolder;
    }

    /** Returns whether a shard has lately lost its holder and should have the next one within moments. */
    public boolean isHolderExpected(long nowMillis) {
        return isWithoutHolder && nowMillis - withoutHolderSinceMillis < TAKEOVER_MILLIS;
    }

    /** Returns who is due to hear this node's status now, noted as sent; whoever calls this tells them. */
    public Audience takeDueAudience(long nowMillis) {
        long period = holding || isWithoutHolder ? PeerTable.STATUS_PERIOD_MILLIS : PeerTable.DISTANT_PERIOD_MILLIS;
        if (nowMillis - neighboursSentAtMillis >= period) {
            Audience audience = changeAudience();
            recordSent(audience, nowMillis);
            return audience;
        }
        if (nowMillis - closeSentAtMillis >= PeerTable.STATUS_PERIOD_MILLIS) {
            recordSent(Audience.FREQUENT, nowMillis);
            return Audience.FREQUENT;
        }
        return Audience.NOBODY;
    }

    /** Returns who has to hear of a change of this node's status. */
    public Audience changeAudience() {
        return holding ? Audience.ALL : Audience.NEIGHBOURS;
    }

    /** Notes who was sent the status. */
    public void recordSent(Audience audience, long nowMillis) {
        closeSentAtMillis = nowMillis;
        if (audience != Audience.FREQUENT) {
            neighboursSentAtMillis = nowMillis;
        }
    }

    /** Returns the peers that need to hear this node often: holders, and nodes that miss one. */
    public ImmutableList<NodeId> frequentRecipients() {
        return frequentRecipientsOutside(ImmutableSet.of());
    }

    /** Returns the peers that need to hear this node often and do not stand in these failure domains. */
    public ImmutableList<NodeId> frequentRecipientsOutside(ImmutableSet<FailureDomain> domains) {
        return peers.reachable().stream()
                .filter(peer -> !peer.shards().isEmpty() || peer.withoutHolder())
                .filter(peer -> !domains.contains(peer.domain()))
                .map(NodeStatus::node)
                .collect(ImmutableList.toImmutableList());
    }

    /** Who is due to hear a status. */
    public enum Audience {
        /** Nobody yet. */
        NOBODY,
        /** Those that need to hear this node often. */
        FREQUENT,
        /** Those, and every node of the own pool. */
        NEIGHBOURS,
        /** Every node that was ever known, since it may be back. */
        ALL
    }
}
