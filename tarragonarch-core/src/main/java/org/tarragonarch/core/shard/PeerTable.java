package org.tarragonarch.core.shard;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.HeldShard;
import org.tarragonarch.model.report.NodeStatus;
import org.tarragonarch.model.report.StatusNumber;
import org.tarragonarch.model.task.FencingToken;

/** The last status of each peer, and which peers are reachable. */
public final class PeerTable {
    /**
     * The time without a status after which a peer that sends it frequently counts as lost, in milliseconds.
     *
     * <p>Allows three statuses in a row to be missed, sent every {@link #STATUS_PERIOD_MILLIS}, and some slack for a
     * slow VM. A shorter time takes shards from nodes during a garbage collection; a longer one keeps callers waiting.
     */
    public static final long SILENCE_MILLIS = 700;

    /** The period at which a node sends its status to peers that need it frequently, in milliseconds. */
    public static final long STATUS_PERIOD_MILLIS = 200;

    /**
     * The time without a status after which the connections with a peer that sends it frequently are replaced, in
     * milliseconds: they may have become silent. The peer then has time to connect before it counts as lost.
     */
    public static final long OVERDUE_MILLIS = 2 * STATUS_PERIOD_MILLIS;

    /** The period at which a node sends its status to other peers, in milliseconds; see {@link Heartbeats}. */
    public static final long DISTANT_PERIOD_MILLIS = 2_000;

    /** The time after which a peer that sends its status infrequently counts as lost; three missed and some slack. */
    public static final long DISTANT_SILENCE_MILLIS = 3 * DISTANT_PERIOD_MILLIS + 500;

    private final Map<NodeId, LastStatus> peers = new TreeMap<>();
    private final Map<FailureDomain, FencingToken> highestTokens = new HashMap<>();
    private Optional<ImmutableList<NodeStatus>> holders = Optional.empty();
    private ImmutableSet<FailureDomain> neighbours = ImmutableSet.of();
    private boolean expectsAll = true;
    private boolean expectsFrequent;
    private long frequentSinceMillis;

    /** Creates an empty table. */
    public PeerTable() {}

    /** Records a status; returns whether the peer was unknown or unreachable before. */
    public boolean recordStatus(NodeStatus status, long nowMillis) {
        LastStatus before = peers.get(status.node());
        boolean joined = before == null || !before.reachable();
        holders = Optional.empty();
        status.shards().forEach(held -> recordClaim(held.domain(), held.token()));
        peers.put(
                status.node(),
                new LastStatus(
                        status, nowMillis, joined ? nowMillis : before.reachableSinceMillis(), true, false, false));
        return joined;
    }

    /** Records that this node or a peer has claimed a shard under a token. */
    public void recordClaim(FailureDomain shard, FencingToken token) {
        highestTokens.merge(shard, token, (first, second) -> first.compareTo(second) >= 0 ? first : second);
    }

    /** Returns whether no claim of the shard under a higher token is known, including claims that have ended. */
    public boolean isHighestToken(FailureDomain shard, FencingToken token) {
        FencingToken highest = highestTokens.get(shard);
        return highest == null || token.compareTo(highest) >= 0;
    }

    /** Records that the last connection to the peer broke; returns whether the peer was reachable before. */
    public boolean recordConnectionLost(NodeId peer) {
        LastStatus known = peers.get(peer);
        if (known == null || !known.reachable()) {
            return false;
        }
        peers.put(peer, known.asLost(false));
        holders = Optional.empty();
        return true;
    }

    /**
     * Sets which peers should send their status to this node, and how often.
     *
     * <p>A peer has {@link #SILENCE_MILLIS} from the moment at which its status is first expected frequently, since its
     * last status may legitimately be older than that.
     *
     * @param domains the failure domains whose nodes always send their status to this node
     * @param all whether all other nodes do so too, as they do to a holder
     * @param frequent whether the expected statuses should be frequent
     */
    void expectStatusesFrom(ImmutableSet<FailureDomain> domains, boolean all, boolean frequent, long nowMillis) {
        if (frequent && !expectsFrequent || all && !expectsAll) {
            frequentSinceMillis = nowMillis;
        }
        neighbours = domains;
        expectsAll = all;
        expectsFrequent = frequent;
    }

    /** Returns the reachable peers whose frequent status is overdue, each once until its next status arrives. */
    public ImmutableList<NodeId> takeOverdue(long nowMillis) {
        ImmutableList.Builder<NodeId> overdue = ImmutableList.builder();
        for (LastStatus last : ImmutableList.copyOf(peers.values())) {
            if (last.reachable() && !last.overdue() && frequentSilenceMillis(last, nowMillis) > OVERDUE_MILLIS) {
                peers.put(last.status().node(), last.asOverdue());
                overdue.add(last.status().node());
            }
        }
        return overdue.build();
    }

    /** Marks peers that have been silent for too long as lost, and returns those whose status was expected. */
    public ImmutableList<NodeId> expire(long nowMillis) {
        ImmutableList.Builder<NodeId> silent = ImmutableList.builder();
        for (LastStatus last : ImmutableList.copyOf(peers.values())) {
            if (last.reachable() && isSilent(last, nowMillis)) {
                peers.put(last.status().node(), last.asLost(true));
                holders = Optional.empty();
                if (shouldSendStatus(last.status())) {
                    silent.add(last.status().node());
                }
            }
        }
        return silent.build();
    }

    /** Returns whether this node appears to be partitioned; see {@link SilentPeers#arePartition}. */
    public boolean isPartitioned() {
        return reachable().isEmpty() && silentPeers().arePartition();
    }

    /** Returns whether a holder fell silent and no reachable peer has sent a status since. */
    public boolean isHolderLossUnconfirmed() {
        return silentPeers().isHolderLossUnconfirmed();
    }

    /**
     * Returns whether a node of the failure domain is among the peers that fell silent last, at about the same time.
     */
    public boolean hasLastSilentPeerIn(FailureDomain domain) {
        return silentPeers().hasLastOneIn(domain);
    }

    private SilentPeers silentPeers() {
        return new SilentPeers(peers.values());
    }

    /** Returns when the peer's last status arrived, on the steady clock; empty if there is none. */
    public OptionalLong lastStatusMillis(NodeId peer) {
        LastStatus last = peers.get(peer);
        return last == null ? OptionalLong.empty() : OptionalLong.of(last.receivedAtMillis());
    }

    /** Returns whether the peer is reachable and holds a shard. */
    public boolean isReachableHolder(NodeId peer) {
        LastStatus last = peers.get(peer);
        return last != null && last.reachable() && !last.status().shards().isEmpty();
    }

    /** Returns the numbers of the last statuses of the reachable peers that hold a shard. */
    public ImmutableMap<NodeId, StatusNumber> lastNumbersOfHolders() {
        ImmutableMap.Builder<NodeId, StatusNumber> numbers = ImmutableMap.builder();
        for (LastStatus last : peers.values()) {
            if (last.reachable() && !last.status().shards().isEmpty()) {
                numbers.put(last.status().node(), last.status().number());
            }
        }
        return numbers.build();
    }

    /** Returns the number of the last status of a peer. */
    public StatusNumber lastNumber(NodeId peer) {
        LastStatus last = peers.get(peer);
        return last == null ? StatusNumber.NONE : last.status().number();
    }

    /** Returns the last status of every reachable peer. */
    public ImmutableList<NodeStatus> reachable() {
        return statuses(last -> true);
    }

    /** Returns the last status of every peer reachable since this time, on the steady clock, or longer. */
    public ImmutableList<NodeStatus> reachableSince(long sinceMillis) {
        return statuses(last -> last.reachableSinceMillis() <= sinceMillis);
    }

    /** Returns the highest known term of a claim of the shard, including claims that have ended; 0 if there is none. */
    public long highestTerm(FailureDomain shard) {
        FencingToken highest = highestTokens.get(shard);
        return highest == null ? 0 : highest.term();
    }

    /** Returns whether a peer held the shard by its last status and is reachable or was at this time or later. */
    public boolean mayBeHeldByPeer(FailureDomain shard, long sinceMillis) {
        return peers.values().stream()
                .filter(last -> last.reachable() || last.receivedAtMillis() >= sinceMillis)
                .anyMatch(last -> last.held(shard).isPresent());
    }

    /**
     * Returns the reachable peer that holds the shard.
     *
     * <p>Right after a network partition there may be two holders: a node of the shard's own failure domain precedes
     * one of another domain, then the higher token wins.
     */
    public Optional<ShardHolder> holder(FailureDomain shard) {
        Optional<ShardHolder> local = highestHolder(shard, true);
        return local.isPresent() ? local : highestHolder(shard, false);
    }

    /** Returns the reachable holders, each with the shards for which {@link #holder} returns it. */
    public ImmutableList<NodeStatus> holders() {
        if (holders.isEmpty()) {
            holders = Optional.of(findHolders());
        }
        return holders.get();
    }

    private ImmutableList<NodeStatus> findHolders() {
        ImmutableList.Builder<NodeStatus> holders = ImmutableList.builder();
        for (NodeStatus status : reachable()) {
            ImmutableList<HeldShard> held = status.shards().stream()
                    .filter(shard -> isHolder(status.node(), shard.domain()))
                    .collect(ImmutableList.toImmutableList());
            if (!held.isEmpty()) {
                holders.add(status.withShards(held));
            }
        }
        return holders.build();
    }

    private boolean isHolder(NodeId node, FailureDomain shard) {
        return holder(shard).filter(holder -> holder.node().equals(node)).isPresent();
    }

    private Optional<ShardHolder> highestHolder(FailureDomain shard, boolean ofShardsDomain) {
        Optional<ShardHolder> best = Optional.empty();
        for (LastStatus last : peers.values()) {
            boolean isReachableHolder =
                    last.reachable() && !last.status().shards().isEmpty();
            if (!isReachableHolder || last.status().domain().equals(shard) != ofShardsDomain) {
                continue;
            }
            Optional<HeldShard> held = last.held(shard);
            if (held.isPresent()
                    && best.filter(known -> known.outranks(held.get())).isEmpty()) {
                best = Optional.of(new ShardHolder(last.status().node(), held.get()));
            }
        }
        return best;
    }

    /** Returns whether the peer is in the failure domain according to its last status. */
    public boolean isInDomain(NodeId peer, FailureDomain domain) {
        LastStatus last = peers.get(peer);
        return last != null && last.status().domain().equals(domain);
    }

    private boolean isSilent(LastStatus last, long nowMillis) {
        return frequentSilenceMillis(last, nowMillis) > SILENCE_MILLIS
                || nowMillis - last.receivedAtMillis() > DISTANT_SILENCE_MILLIS;
    }

    /** Returns how long a peer has sent no status, in milliseconds; 0 if it need not send it frequently. */
    private long frequentSilenceMillis(LastStatus last, long nowMillis) {
        if (!last.status().shards().isEmpty()) {
            return nowMillis - last.receivedAtMillis();
        }
        if (expectsFrequent && shouldSendStatus(last.status())) {
            return nowMillis - Math.max(last.receivedAtMillis(), frequentSinceMillis);
        }
        return 0;
    }

    /** Returns whether the peer should send its status to this node, so that its silence indicates a loss. */
    private boolean shouldSendStatus(NodeStatus peer) {
        return expectsAll || !peer.shards().isEmpty() || neighbours.contains(peer.domain());
    }

    private ImmutableList<NodeStatus> statuses(Predicate<LastStatus> wanted) {
        ImmutableList.Builder<NodeStatus> statuses = ImmutableList.builder();
        for (LastStatus last : peers.values()) {
            if (last.reachable() && wanted.test(last)) {
                statuses.add(last.status());
            }
        }
        return statuses.build();
    }
}
