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
 * <p>No agreement is needed for safety, since endpoints obey the highest token alone. The election only keeps nodes
 * from taking shards from one another:
 *
 * <ul>
 *   <li>A shard stays with its holder while that is reachable.
 *   <li>A shard without a holder is claimed under a higher term by the highest-ranked candidate of its pool; see {@link
 *       CandidateRanking}.
 *   <li>A shard none of whose domain's nodes is reachable may be cut off rather than without a holder. It is claimed
 *       only after {@value #FOREIGN_CLAIM_MILLIS} ms, by a node that holds another.
 *   <li>A node that reaches no peer may be partitioned itself. It claims what the others may still hold only after
 *       {@value #ISOLATED_CLAIM_MILLIS} ms.
 * </ul>
 */
public final class HolderElection {
    /**
     * A domain that is cut off goes on by itself, and must not lose its endpoints to the outside as soon as the cut
     * heals; a domain whose nodes are restarting needs about a second.
     */
    private static final long FOREIGN_CLAIM_MILLIS = 3_000;

    /**
     * How long a node that lost all its peers at once claims nothing that one of them may hold, in milliseconds.
     *
     * <p>Guards against one node that is cut off, still reaches the endpoints, and takes them from the holder that
     * serves everybody else. It shows as silence of all peers at once, and before that of the holder, who speaks most
     * often. Peers that were killed are back within a second or two; those that are gone for good are given up after
     * this.
     */
    private static final long ISOLATED_CLAIM_MILLIS = PeerTable.DISTANT_SILENCE_MILLIS;

    /**
     * How long a node that was fenced backs off from the shard, in milliseconds.
     *
     * <p>Guards against two nodes that reach the same endpoints but not each other: they would take the shard from one
     * another indefinitely.
     */
    private static final long FENCED_PAUSE_MILLIS = 3_000;

    /**
     * How long a stronger node must have been there before a holder releases its shards to it, in milliseconds: long
     * enough to have the list of endpoints and warm code.
     */
    private static final long SETTLED_MILLIS = 2_000;

    /** The unit of the clock that terms are taken from, so that a restarted node's term is above its earlier ones. */
    private static final long TERM_UNIT_MILLIS = 100;

    /**
     * How many terms to skip when endpoints have seen a higher one than any that is known: two seconds of clock
     * difference a try.
     */
    private static final long UNKNOWN_TERM_SKIP = 20;

    private final FailureDomain ownDomain;
    private final String ownIp;
    private final CandidateRanking ranking;
    private final PeerTable peers;
    private final ShardPools pools;
    private final Map<FailureDomain, FencingToken> heldToken = new HashMap<>();
    private final Map<FailureDomain, Long> lastTerm = new HashMap<>();
    private final Map<FailureDomain, Long> backoffUntilMillis = new HashMap<>();
    private final Map<FailureDomain, Long> withoutHolderSince = new HashMap<>();
    private final Map<FailureDomain, Long> fencedAt = new HashMap<>();

    /**
     * Creates the election as seen by a node that holds nothing.
     *
     * @param ownMilliCores the processor time that this node may use, in thousandths of a core
     */
    public HolderElection(
            NodeId own, FailureDomain ownDomain, String ownIp, int ownMilliCores, PeerTable peers, ShardPools pools) {
        this.ownDomain = ownDomain;
        this.ownIp = ownIp;
        this.peers = peers;
        this.pools = pools;
        this.ranking = new CandidateRanking(own, ownDomain, ownMilliCores, heldToken.keySet(), peers, pools);
    }

    /** Returns the token under which this node holds the shard, if it does. */
    public Optional<FencingToken> heldToken(FailureDomain shard) {
        return Optional.ofNullable(heldToken.get(shard));
    }

    /** Returns whether the shard is that of this node's own failure domain. */
    public boolean isOwnDomain(FailureDomain shard) {
        return ownDomain.equals(shard);
    }

    /**
     * Returns whether this node should claim the shard now.
     *
     * @param nowMillis the steady clock
     */
    public boolean shouldClaim(FailureDomain shard, long nowMillis) {
        if (heldToken.containsKey(shard)) {
            return false;
        }
        if (peers.holder(shard).isPresent()) {
            withoutHolderSince.remove(shard);
            return false;
        }
        long since = withoutHolderSince.computeIfAbsent(shard, unused -> nowMillis);
        return nowMillis - since >= claimDelayMillis(shard)
                && nowMillis >= backoffUntilMillis.getOrDefault(shard, Long.MIN_VALUE)
                && isEligibleCandidate(shard)
                && ranking.isHighestRanked(shard);
    }

    /**
     * Returns for how long a shard must have had no holder before this node claims it.
     *
     * <p>Where a pool spans several domains, the silence of its holder has to be confirmed by another peer: a
     * partitioned node would take every endpoint from everybody. Where each domain is a pool, jobs have other domains
     * to go to, and the node goes on serving its own clients.
     */
    private long claimDelayMillis(FailureDomain shard) {
        boolean alone = isOwnDomain(shard) && !peers.hasLastSilentPeerIn(shard) && !homeNodePresent(shard);
        boolean unconfirmed = pools.poolOf(shard).size() > 1 && peers.isHolderLossUnconfirmed();
        if ((peers.isPartitioned() || unconfirmed) && !alone) {
            return ISOLATED_CLAIM_MILLIS;
        }
        boolean certain = isOwnDomain(shard) || pools.poolOf(shard).contains(ownDomain) && homeNodePresent(shard);
        return certain ? 0 : FOREIGN_CLAIM_MILLIS;
    }

    /**
     * Returns whether this node knows enough of its rivals to claim the shard.
     *
     * <p>Outside the shard's pool only holders speak to everybody; others would claim it without knowing of each
     * other. Where nobody holds anything, everybody speaks to its neighbours at least.
     */
    private boolean isEligibleCandidate(FailureDomain shard) {
        return pools.poolOf(shard).contains(ownDomain)
                || !heldToken.isEmpty()
                || peers.holders().isEmpty();
    }

    /**
     * Returns whether this node holds the shard but should release it to another.
     *
     * @param nowMillis the steady clock
     */
    public boolean shouldResign(FailureDomain shard, long nowMillis) {
        FencingToken token = heldToken.get(shard);
        if (token == null) {
            return false;
        }
        ImmutableSet<FailureDomain> pool = pools.poolOf(shard);
        return yieldsToOtherHolder(shard, token)
                || !pool.contains(ownDomain) && anyPresentIn(pool)
                || pool.contains(ownDomain) && yieldsToCandidate(pool, nowMillis - SETTLED_MILLIS);
    }

    /**
     * Returns whether another node that holds the shard too is to keep it.
     *
     * <p>A node of the shard's own failure domain does not yield to one of another: that one claimed the shard while
     * the domain was cut off, and releases it as soon as it hears this node. Otherwise the higher token stays.
     */
    private boolean yieldsToOtherHolder(FailureDomain shard, FencingToken token) {
        Optional<ShardHolder> other = peers.holder(shard);
        if (other.isEmpty()) {
            return false;
        }
        boolean otherIsHome = peers.isInDomain(other.get().node(), shard);
        if (otherIsHome != isOwnDomain(shard)) {
            return otherIsHome;
        }
        return other.get().held().token().compareTo(token) > 0;
    }

    /** Returns whether the pool would be better held by a node that has been there for a while. */
    private boolean yieldsToCandidate(ImmutableSet<FailureDomain> pool, long sinceMillis) {
        for (NodeStatus peer : peers.reachableSince(sinceMillis)) {
            if (pool.contains(peer.domain()) && !peer.leaving() && ranking.shouldYieldTo(peer, pool)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Releases a shard none of whose endpoints is reachable, and backs off from it for a while.
     *
     * <p>Guards against taking the endpoints of a domain that is cut off and goes on by itself: the orders of the node
     * outside would arrive as the cut heals, and stop all that runs there.
     */
    public void resignUnreachable(FailureDomain shard, long nowMillis) {
        heldToken.remove(shard);
        backoffUntilMillis.put(shard, nowMillis + FENCED_PAUSE_MILLIS);
    }

    /**
     * Takes the shard under a token above all that are known.
     *
     * @param wallMillis the time of day
     */
    public FencingToken claim(FailureDomain shard, long wallMillis) {
        long known = Math.max(peers.highestTerm(shard), lastTerm.getOrDefault(shard, 0L));
        long term = Math.max(known + 1, wallMillis / TERM_UNIT_MILLIS % Integer.MAX_VALUE);
        FencingToken token = FencingToken.of(term, ownIp);
        heldToken.put(shard, token);
        lastTerm.put(shard, term);
        return token;
    }

    /** Releases the shard. */
    public void resign(FailureDomain shard) {
        heldToken.remove(shard);
    }

    /**
     * Notes that the shard's endpoints obey a higher token than this node's.
     *
     * <p>The highest-ranked candidate claims once more at once: the other token may be that of a holder that is gone,
     * or of a node that yields as soon as it hears this one. Outranked a second time within {@value
     * #FENCED_PAUSE_MILLIS} ms it backs off, since the other is a living node that it does not reach; they would take
     * the shard from each other some twenty times a second, and nothing would be served.
     */
    public void recordFenced(FailureDomain shard, long nowMillis) {
        heldToken.remove(shard);
        lastTerm.merge(shard, UNKNOWN_TERM_SKIP, Long::sum);
        Long before = fencedAt.put(shard, nowMillis);
        boolean again = before != null && nowMillis - before < FENCED_PAUSE_MILLIS;
        if (!again && peers.holder(shard).isEmpty() && ranking.isHighestRanked(shard) && othersPresent()) {
            return;
        }
        backoffUntilMillis.put(shard, nowMillis + FENCED_PAUSE_MILLIS);
    }

    private boolean othersPresent() {
        return !peers.reachable().isEmpty();
    }

    /** Returns whether this node would be the next holder of the shard if the present one were lost. */
    public boolean isSuccessor(FailureDomain shard) {
        int holders = peers.holder(shard).isPresent() ? 1 : 0;
        return ranking.higherRankedCount(shard) <= holders;
    }

    private boolean homeNodePresent(FailureDomain shard) {
        return anyPresentIn(ImmutableSet.of(shard));
    }

    private boolean anyPresentIn(ImmutableSet<FailureDomain> domains) {
        for (NodeStatus peer : peers.reachable()) {
            if (domains.contains(peer.domain()) && !peer.leaving()) {
                return true;
            }
        }
        return false;
    }
}
