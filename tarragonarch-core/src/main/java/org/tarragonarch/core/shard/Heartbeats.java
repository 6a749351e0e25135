package org.tarragonarch.core.shard;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.NodeStatus;

/**
 * Decides which peers receive this node's status, and how often.
 *
 * <p>A holder exchanges jobs with every other node, so each must detect the loss of the other within a second: a holder
 * sends its status to every node, and every node sends its own to the holders, every {@value
 * PeerTable#STATUS_PERIOD_MILLIS} ms. Two nodes without shards need each other's status only if either may become the
 * next holder, that is within the domains of one pool; they send it every {@value PeerTable#DISTANT_PERIOD_MILLIS} ms.
 * The traffic of a node thus grows with the number of holders and the size of its pool, not with the size of the
 * cluster. A node that starts connects to its neighbours only.
 *
 * <p>A node that knows of no holder for a shard of its pool reports this in its status. It and its neighbours then
 * exchange their statuses frequently until the next holder is known. Thus, even if a holder and its successor fail at
 * the same moment, the next candidate takes over within a second.
 */
public final class Heartbeats {
    /**
     * The time in which a shard should get its next holder: usually 0.2 s, one second if all nodes have just started.
     */
    private static final long TAKEOVER_MILLIS = 1_000;

    private final PeerTable peers;
    private final ShardPools pools;
    private final FailureDomain ownDomain;
    private boolean holding;
    private boolean missesHolder;
    private long missesHolderSinceMillis;
    private long frequentSentAtMillis = Long.MIN_VALUE / 2;
    private long neighboursSentAtMillis = Long.MIN_VALUE / 2;

    /** Creates the schedule of a node that has sent nothing yet. */
    public Heartbeats(PeerTable peers, ShardPools pools, FailureDomain ownDomain) {
        this.peers = checkNotNull(peers, "peers");
        this.pools = checkNotNull(pools, "pools");
        this.ownDomain = checkNotNull(ownDomain, "ownDomain");
    }

    /** Returns the failure domains whose nodes may take over shards from this node, or this node from them. */
    public ImmutableSet<FailureDomain> neighbourDomains() {
        return pools.neighbourDomains(ownDomain);
    }

    /** Returns the last status of every reachable peer in the neighbouring domains. */
    public ImmutableList<NodeStatus> reachableNeighbours() {
        return peers.reachable().stream()
                .filter(peer -> neighbourDomains().contains(peer.domain()))
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Updates which shards this node holds, and whether a shard of its pool has no holder.
     *
     * @return whether this node must send its status at once because a shard of its pool has just lost its holder
     */
    public boolean review(Set<FailureDomain> held, long nowMillis) {
        boolean missedBefore = missesHolder;
        holding = !held.isEmpty();
        missesHolder = neighbourDomains().stream()
                .anyMatch(shard -> !held.contains(shard) && peers.holder(shard).isEmpty());
        if (missesHolder && !missedBefore) {
            missesHolderSinceMillis = nowMillis;
        }
        peers.expectStatusesFrom(neighbourDomains(), holding, holding || missesHolder, nowMillis);
        return missesHolder && !missedBefore;
    }

    /** Returns whether this node knows of no holder for a shard of its pool. */
    public boolean isMissingHolder() {
        return missesHolder;
    }

    /** Returns whether a shard of the pool lost its holder less than {@value #TAKEOVER_MILLIS} ms ago. */
    public boolean isHolderExpected(long nowMillis) {
        return missesHolder && nowMillis - missesHolderSinceMillis < TAKEOVER_MILLIS;
    }

    /** Returns the peers to which the caller must send this node's status now, and records it as sent. */
    public Audience takeDueAudience(long nowMillis) {
        long period = holding || missesHolder ? PeerTable.STATUS_PERIOD_MILLIS : PeerTable.DISTANT_PERIOD_MILLIS;
        if (nowMillis - neighboursSentAtMillis >= period) {
            Audience audience = changeAudience();
            recordSent(audience, nowMillis);
            return audience;
        }
        if (nowMillis - frequentSentAtMillis >= PeerTable.STATUS_PERIOD_MILLIS) {
            recordSent(Audience.FREQUENT, nowMillis);
            return Audience.FREQUENT;
        }
        return Audience.NOBODY;
    }

    /** Returns the peers to which a change of this node's status must be sent. */
    public Audience changeAudience() {
        return holding ? Audience.ALL : Audience.NEIGHBOURS;
    }

    /** Records that the status was sent to these peers. */
    public void recordSent(Audience audience, long nowMillis) {
        frequentSentAtMillis = nowMillis;
        if (audience != Audience.FREQUENT) {
            neighboursSentAtMillis = nowMillis;
        }
    }

    /** Returns the peers that need this node's status frequently: holders, and nodes that know of no holder. */
    public ImmutableList<NodeId> frequentRecipients() {
        return frequentRecipientsOutside(ImmutableSet.of());
    }

    /** Returns the peers outside these failure domains that need this node's status frequently. */
    public ImmutableList<NodeId> frequentRecipientsOutside(ImmutableSet<FailureDomain> domains) {
        return peers.reachable().stream()
                .filter(peer -> !peer.shards().isEmpty() || peer.missesHolder())
                .filter(peer -> !domains.contains(peer.domain()))
                .map(NodeStatus::node)
                .collect(ImmutableList.toImmutableList());
    }

    /** The recipients of a status. */
    public enum Audience {
        /** No peer. */
        NOBODY,
        /** The peers of {@link #frequentRecipients()}. */
        FREQUENT,
        /** The peers of {@link #frequentRecipients()}, and every node of the neighbouring domains. */
        NEIGHBOURS,
        /** Every known node, including those that are unreachable, since they may have returned. */
        ALL
    }
}
