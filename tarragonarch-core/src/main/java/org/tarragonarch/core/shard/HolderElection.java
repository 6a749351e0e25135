package org.tarragonarch.core.shard;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.task.FencingToken;

/**
 * Decides which shards this node holds.
 *
 * <p>Safety needs no agreement between nodes, since endpoints obey only the highest token. The election merely keeps
 * nodes from repeatedly claiming each other's shards:
 *
 * <ul>
 *   <li>A shard stays with its holder while the holder is reachable.
 *   <li>A shard without a holder is claimed under a higher term by the highest-ranked candidate of its pool; see {@link
 *       CandidateRanking}.
 *   <li>A shard of a domain without a reachable node may be partitioned rather than without a holder. It is claimed
 *       only after {@value #FOREIGN_CLAIM_MILLIS} ms, by a node that holds another shard.
 *   <li>A node that reaches no peer may be partitioned itself. It claims shards that peers may still hold only after
 *       {@value #ISOLATED_CLAIM_MILLIS} ms.
 * </ul>
 */
public final class HolderElection {
    /**
     * How long a shard must have had no holder before a node that reaches none of its domain's nodes claims it.
     *
     * <p>A partitioned domain keeps a holder of its own, which must not lose its endpoints to another domain as soon as
     * the partition ends. A domain whose nodes are restarting needs about a second.
     */
    private static final long FOREIGN_CLAIM_MILLIS = 3_000;

    /**
     * How long a node that lost all its peers at once claims no shard that one of them may hold, in milliseconds.
     *
     * <p>Guards against a partitioned node that still reaches the endpoints and takes them from the holder that serves
     * all other nodes. Such a node loses all peers at about the same time, and the holder first, whose statuses are the
     * most frequent. Killed peers are back within one or two seconds; after this time the others count as failed.
     */
    private static final long ISOLATED_CLAIM_MILLIS = PeerTable.DISTANT_SILENCE_MILLIS;

    /**
     * How long a node that was fenced backs off from the shard, in milliseconds.
     *
     * <p>Guards against two nodes that reach the same endpoints but not each other: without a pause they would fence
     * each other indefinitely.
     */
    private static final long FENCED_PAUSE_MILLIS = 3_000;

    /**
     * How long a better candidate must have been reachable before a holder releases its shards to it, in milliseconds:
     * long enough for it to have read the list of endpoints and warmed up its code.
     */
    private static final long SETTLED_MILLIS = 2_000;

    /** The unit of time in terms, which follow the clock so that they increase when a node restarts. */
    private static final long TERM_UNIT_MILLIS = 100;

    /**
     * The number of terms to skip when endpoints obey a higher term than any known to this node; makes up for two
     * seconds of clock difference per attempt.
     */
    private static final long UNKNOWN_TERM_SKIP = 20;

    private final FailureDomain ownDomain;
    private final String ownIp;
    private final CandidateRanking ranking;
    private final PeerTable peers;
    private final ShardPools pools;
    private final Map<FailureDomain, FencingToken> heldTokens = new HashMap<>();
    private final Map<FailureDomain, Long> lastTerm = new HashMap<>();
    private final Map<FailureDomain, Long> backoffUntilMillis = new HashMap<>();
    private final Map<FailureDomain, Long> withoutHolderSinceMillis = new HashMap<>();
    private final Map<FailureDomain, Long> fencedAtMillis = new HashMap<>();

    /**
     * Creates the election state of a node that holds nothing.
     *
     * @param ownMilliCores the processor time that this node may use, in thousandths of a core
     */
    public HolderElection(
            NodeId own, FailureDomain ownDomain, String ownIp, int ownMilliCores, PeerTable peers, ShardPools pools) {
        this.ownDomain = ownDomain;
        this.ownIp = ownIp;
        this.peers = peers;
        this.pools = pools;
        this.ranking = new CandidateRanking(own, ownDomain, ownMilliCores, heldTokens.keySet(), peers, pools);
    }

    /** Returns the token under which this node holds the shard; empty if it does not. */
    public Optional<FencingToken> heldToken(FailureDomain shard) {
        return Optional.ofNullable(heldTokens.get(shard));
    }

    /** Returns whether the shard is the one of this node's own failure domain. */
    public boolean isOwnDomain(FailureDomain shard) {
        return ownDomain.equals(shard);
    }

    /**
     * Returns whether this node should claim the shard now.
     *
     * @param nowMillis the steady clock
     */
    public boolean shouldClaim(FailureDomain shard, long nowMillis) {
        if (heldTokens.containsKey(shard)) {
            return false;
        }
        if (peers.holder(shard).isPresent()) {
            withoutHolderSinceMillis.remove(shard);
            return false;
        }
        long since = withoutHolderSinceMillis.computeIfAbsent(shard, unused -> nowMillis);
        return nowMillis - since >= claimDelayMillis(shard)
                && nowMillis >= backoffUntilMillis.getOrDefault(shard, Long.MIN_VALUE)
                && isEligibleCandidate(shard)
                && ranking.isHighestRanked(shard);
    }

    /**
     * Returns for how long a shard must have had no holder before this node claims it.
     *
     * <p>If a pool spans several domains, another peer has to confirm the loss of its holder; otherwise a partitioned
     * node would take all endpoints from the other nodes. If each domain is a pool, clients of other nodes still have
     * the other domains, and the partitioned node continues to serve its own clients.
     */
    private long claimDelayMillis(FailureDomain shard) {
        boolean isOnlyNodeOfDomain =
                isOwnDomain(shard) && !peers.hasLastSilentPeerIn(shard) && !isNodeOfDomainReachable(shard);
        boolean unconfirmed = pools.poolOf(shard).size() > 1 && peers.isHolderLossUnconfirmed();
        if ((peers.isPartitioned() || unconfirmed) && !isOnlyNodeOfDomain) {
            return ISOLATED_CLAIM_MILLIS;
        }
        boolean isLossCertain =
                isOwnDomain(shard) || pools.poolOf(shard).contains(ownDomain) && isNodeOfDomainReachable(shard);
        return isLossCertain ? 0 : FOREIGN_CLAIM_MILLIS;
    }

    /**
     * Returns whether this node receives the statuses of the other candidates for the shard.
     *
     * <p>Outside the shard's pool only holders exchange statuses with every node; other nodes would claim the shard
     * without knowing of each other. If no node holds a shard, every node is eligible, since it receives at least the
     * statuses of its neighbours.
     */
    private boolean isEligibleCandidate(FailureDomain shard) {
        return pools.poolOf(shard).contains(ownDomain)
                || !heldTokens.isEmpty()
                || peers.holders().isEmpty();
    }

    /**
     * Returns whether this node holds the shard under a token that its endpoints may reject, because another node has
     * claimed the shard under a higher one and no longer holds it.
     *
     * <p>A peer that was lost with the shard may still hold it, and serve other nodes, for {@value
     * #ISOLATED_CLAIM_MILLIS} ms.
     *
     * @param nowMillis the steady clock
     */
    public boolean isSurpassed(FailureDomain shard, long nowMillis) {
        FencingToken token = heldTokens.get(shard);
        return token != null
                && !peers.isHighestToken(shard, token)
                && !peers.mayBeHeldByPeer(shard, nowMillis - ISOLATED_CLAIM_MILLIS);
    }

    /**
     * Returns whether this node holds the shard but should release it to another.
     *
     * @param nowMillis the steady clock
     */
    public boolean shouldResign(FailureDomain shard, long nowMillis) {
        FencingToken token = heldTokens.get(shard);
        if (token == null) {
            return false;
        }
        ImmutableSet<FailureDomain> pool = pools.poolOf(shard);
        return yieldsToOtherHolder(shard, token)
                || !pool.contains(ownDomain) && isAnyNodeReachableIn(pool)
                || pool.contains(ownDomain) && yieldsToCandidate(pool, nowMillis - SETTLED_MILLIS);
    }

    /**
     * Returns whether another node also holds the shard and has precedence.
     *
     * <p>A node of the shard's own failure domain does not yield to one of another domain, which claimed the shard
     * during a network partition and releases it once it receives this node's status. Otherwise the higher token wins.
     */
    private boolean yieldsToOtherHolder(FailureDomain shard, FencingToken token) {
        Optional<ShardHolder> other = peers.holder(shard);
        if (other.isEmpty()) {
            return false;
        }
        boolean otherIsOfShardsDomain = peers.isInDomain(other.get().node(), shard);
        if (otherIsOfShardsDomain != isOwnDomain(shard)) {
            return otherIsOfShardsDomain;
        }
        return other.get().held().token().compareTo(token) > 0;
    }

    /** Returns whether a peer that has been reachable since this time is a better holder for the pool. */
    private boolean yieldsToCandidate(ImmutableSet<FailureDomain> pool, long sinceMillis) {
        for (NodeStatus peer : peers.reachableSince(sinceMillis)) {
            if (pool.contains(peer.domain()) && !peer.leaving() && ranking.shouldYieldTo(peer, pool)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Releases a shard without a reachable endpoint, and backs off from it for {@value #FENCED_PAUSE_MILLIS} ms.
     *
     * <p>Guards against taking the endpoints of a partitioned domain from its own holder: this node's orders would
     * arrive when the partition ends, and stop all tasks running there.
     */
    public void resignUnreachable(FailureDomain shard, long nowMillis) {
        heldTokens.remove(shard);
        backoffUntilMillis.put(shard, nowMillis + FENCED_PAUSE_MILLIS);
    }

    /**
     * Claims the shard, which this node may hold under a lower token, under one that is higher than every known one.
     *
     * @param wallMillis the time of day, in milliseconds since the epoch
     */
    public FencingToken claim(FailureDomain shard, long wallMillis) {
        long known = Math.max(peers.highestTerm(shard), lastTerm.getOrDefault(shard, 0L));
        long term = Math.max(known + 1, wallMillis / TERM_UNIT_MILLIS % Integer.MAX_VALUE);
        FencingToken token = FencingToken.of(term, ownIp);
        heldTokens.put(shard, token);
        lastTerm.put(shard, term);
        return token;
    }

    /** Releases the shard. */
    public void resign(FailureDomain shard) {
        heldTokens.remove(shard);
    }

    /**
     * Releases the shard because its endpoints obey a higher token than this node's.
     *
     * <p>The highest-ranked candidate may claim again at once: the higher token may belong to a failed holder, or to a
     * node that yields once it receives this node's status. A node that is fenced again within {@value
     * #FENCED_PAUSE_MILLIS} ms backs off, since the other holder is alive but unreachable from here. Without the pause
     * the two would fence each other about twenty times a second, and no job would be served.
     */
    public void recordFenced(FailureDomain shard, long nowMillis) {
        heldTokens.remove(shard);
        lastTerm.merge(shard, UNKNOWN_TERM_SKIP, Long::sum);
        Long before = fencedAtMillis.put(shard, nowMillis);
        boolean again = before != null && nowMillis - before < FENCED_PAUSE_MILLIS;
        if (!again && peers.holder(shard).isEmpty() && ranking.isHighestRanked(shard) && isAnyPeerReachable()) {
            return;
        }
        backoffUntilMillis.put(shard, nowMillis + FENCED_PAUSE_MILLIS);
    }

    private boolean isAnyPeerReachable() {
        return !peers.reachable().isEmpty();
    }

    /** Returns whether this node would be the next holder of the shard if the current one were lost. */
    public boolean isSuccessor(FailureDomain shard) {
        int holders = peers.holder(shard).isPresent() ? 1 : 0;
        return ranking.higherRankedCount(shard) <= holders;
    }

    private boolean isNodeOfDomainReachable(FailureDomain shard) {
        return isAnyNodeReachableIn(ImmutableSet.of(shard));
    }

    private boolean isAnyNodeReachableIn(ImmutableSet<FailureDomain> domains) {
        for (NodeStatus peer : peers.reachable()) {
            if (domains.contains(peer.domain()) && !peer.leaving()) {
                return true;
            }
        }
        return false;
    }
}
