package org.tarragonarch.core.shard;

import com.google.common.collect.ImmutableList;
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
import org.tarragonarch.model.task.FencingToken;

/** What the peers last said of themselves, and which of them are reachable. */
public final class PeerTable {
    /**
     * How long a peer that speaks often may say nothing before it counts as gone, in milliseconds.
     *
     * <p>Such peers speak every {@link #STATUS_PERIOD_MILLIS}; three missed in a row and some slack for a slow VM.
     * Shorter takes shards from nodes that merely pause for a collection of garbage; longer leaves callers waiting.
     */
    public static final long SILENCE_MILLIS = 700;

    /** How often a node tells its status to those that need to hear it often, in milliseconds. */
    public static final long STATUS_PERIOD_MILLIS = 200;

    /**
     * How much later than one of two nodes that have lost each other the other may notice it, in milliseconds: the last
     * status of one may be a period older than the other's, and each looks for silent peers twice a period.
     */
    public static final long DETECTION_SKEW_MILLIS = STATUS_PERIOD_MILLIS + STATUS_PERIOD_MILLIS / 2;

    /** How often a node tells its status to all others, in milliseconds; {@link Heartbeats} says who they are. */
    public static final long DISTANT_PERIOD_MILLIS = 2_000;

    /** How long a peer that speaks seldom may say nothing, in milliseconds; three missed in a row and some slack. */
    public static final long DISTANT_SILENCE_MILLIS = 3 * DISTANT_PERIOD_MILLIS + 500;

    /**
     * Peers whose last statuses came within this time of each other fell silent together: what lies between two
     * heartbeats of a peer that speaks seldom, and the time after which silence counts.
     */
    private static final long AT_ONCE_MILLIS = DISTANT_PERIOD_MILLIS + SILENCE_MILLIS;

    /** A peer that spoke this much later than a silent holder spoke after the moment of a partition. */
    private static final long CONFIRMATION_MILLIS = 2 * STATUS_PERIOD_MILLIS;

    /** So many peers do not fail together by chance. */
    private static final int SEVERAL = 3;

    private final Map<NodeId, LastStatus> peers = new TreeMap<>();
    private final Map<FailureDomain, FencingToken> highestTokens = new HashMap<>();
    private Optional<ImmutableList<NodeStatus>> holders = Optional.empty();
    private ImmutableSet<FailureDomain> neighbours = ImmutableSet.of();
    private boolean allSpeak = true;
    private boolean neighboursSpeakOften;
    private long oftenSinceMillis;

    /** Creates a table that knows nobody. */
    public PeerTable() {}

    /** Records a status; returns whether the peer was not there before. */
    public boolean received(NodeStatus status, long nowMillis) {
        LastStatus before = peers.get(status.node());
        boolean joined = before == null || !before.present();
        holders = Optional.empty();
        status.shards().forEach(held -> claimed(held.domain(), held.token()));
        peers.put(
                status.node(),
                new LastStatus(status, nowMillis, joined ? nowMillis : before.sinceMillis(), true, false));
        return joined;
    }

    /** Notes that a node, a peer or this one, has claimed a shard under a token. */
    public void claimed(FailureDomain shard, FencingToken token) {
        highestTokens.merge(shard, token, (first, second) -> first.compareTo(second) >= 0 ? first : second);
    }

    /** Returns whether no claim of the shard under a higher token is known. */
    public boolean isHighest(FailureDomain shard, FencingToken token) {
        FencingToken highest = highestTokens.get(shard);
        return highest == null || token.compareTo(highest) >= 0;
    }

    /** Notes that the last connection with the peer broke; returns whether it was there before. */
    public boolean lost(NodeId peer) {
        LastStatus known = peers.get(peer);
        if (known == null || !known.present()) {
            return false;
        }
        peers.put(peer, known.gone(false));
        holders = Optional.empty();
        return true;
    }

    /**
     * Notes who should speak to this node, and how often.
     *
     * <p>From the moment on when a peer should speak often it has {@link #SILENCE_MILLIS} to do so, as it may have
     * been silent for longer than that with good reason.
     *
     * @param domains the failure domains whose nodes always speak to this one
     * @param all whether all other nodes do too, as to a holder
     * @param often whether those that speak should do so often
     */
    void expectFrom(ImmutableSet<FailureDomain> domains, boolean all, boolean often, long nowMillis) {
        if (often && !neighboursSpeakOften || all && !allSpeak) {
            oftenSinceMillis = nowMillis;
        }
        neighbours = domains;
        allSpeak = all;
        neighboursSpeakOften = often;
    }

    /** Returns the peers that have been silent for too long, and takes them for gone from now on. */
    public ImmutableList<NodeId> expire(long nowMillis) {
        ImmutableList.Builder<NodeId> silent = ImmutableList.builder();
        for (LastStatus last : ImmutableList.copyOf(peers.values())) {
            if (last.present() && silent(last, nowMillis)) {
                peers.put(last.status().node(), last.gone(true));
                holders = Optional.empty();
                if (shouldSpeak(last.status())) {
                    silent.add(last.status().node());
                }
            }
        }
        return silent.build();
    }

    /**
     * Returns whether every peer fell silent at about the same moment.
     *
     * <p>Several nodes hardly ever fail together, and one that is cut off loses sight of them all: most likely they go
     * on without this one. Peers whose connections ended are not counted; a process that is killed shows so.
     */
    public boolean isPartitioned() {
        return present().isEmpty() && lostLast(lost -> true) >= SEVERAL;
    }

    /**
     * Returns whether no peer has spoken since a holder fell silent.
     *
     * <p>A node that is partitioned misses holders first, since these speak most often. Peers that miss the holder too
     * speak at once, so their word shows that the holder is gone.
     */
    public boolean isSilenceUnconfirmed() {
        OptionalLong holderLastHeard = lastHeardMillis(
                last -> last.fellSilent() && !last.status().shards().isEmpty());
        OptionalLong peerLastHeard = lastHeardMillis(LastStatus::present);
        return holderLastHeard.isPresent()
                && peerLastHeard.isPresent()
                && peerLastHeard.getAsLong() <= holderLastHeard.getAsLong() + CONFIRMATION_MILLIS;
    }

    /** Returns whether a node of the failure domain is among those that fell silent last, at about the same moment. */
    public boolean wasLastLostIn(FailureDomain domain) {
        return lostLast(lost -> lost.status().domain().equals(domain)) > 0;
    }

    /** Counts the peers that fell silent last. */
    private long lostLast(Predicate<LastStatus> wanted) {
        OptionalLong lastReceived = lastHeardMillis(LastStatus::fellSilent);
        return peers.values().stream()
                .filter(last -> last.fellSilent() && last.atMillis() >= lastReceived.orElseThrow() - AT_ONCE_MILLIS)
                .filter(wanted)
                .count();
    }

    /** Returns when the last status came from any of these peers, on the steady clock; empty if there is none. */
    private OptionalLong lastHeardMillis(Predicate<LastStatus> wanted) {
        return peers.values().stream()
                .filter(wanted)
                .mapToLong(LastStatus::atMillis)
                .max();
    }

    /** Returns when the peer's last status came, on the steady clock; empty if there is none. */
    public OptionalLong statusAtMillis(NodeId peer) {
        LastStatus last = peers.get(peer);
        return last == null ? OptionalLong.empty() : OptionalLong.of(last.atMillis());
    }

    /** Returns the last status of every peer that is there. */
    public ImmutableList<NodeStatus> present() {
        return statuses(last -> true);
    }

    /** Returns the last status of every peer that has been there since this time or longer, on the steady clock. */
    public ImmutableList<NodeStatus> presentSince(long sinceMillis) {
        return statuses(last -> last.sinceMillis() <= sinceMillis);
    }

    /** Returns the highest term under which any peer said that it held the shard. */
    public long highestTerm(FailureDomain shard) {
        long highest = 0;
        for (LastStatus last : peers.values()) {
            highest = Math.max(
                    highest, last.held(shard).map(held -> held.token().term()).orElse(0L));
        }
        return highest;
    }

    /**
     * Returns the peer that holds the shard, of those that are there.
     *
     * <p>Right after a cut has healed there may be two: a node of the shard's own failure domain goes before one of
     * another, and then the higher token.
     */
    public Optional<ShardHolder> holder(FailureDomain shard) {
        Optional<ShardHolder> home = highest(shard, true);
        return home.isPresent() ? home : highest(shard, false);
    }

    /** Returns the peers that hold shards, each with those that no other peer holds with better right. */
    public ImmutableList<NodeStatus> holders() {
        if (holders.isEmpty()) {
            holders = Optional.of(findHolders());
        }
        return holders.get();
    }

    private ImmutableList<NodeStatus> findHolders() {
        ImmutableList.Builder<NodeStatus> holders = ImmutableList.builder();
        for (NodeStatus status : present()) {
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

    private Optional<ShardHolder> highest(FailureDomain shard, boolean home) {
        Optional<ShardHolder> best = Optional.empty();
        for (LastStatus last : peers.values()) {
            boolean mayHold = last.present() && !last.status().shards().isEmpty();
            if (!mayHold || last.status().domain().equals(shard) != home) {
                continue;
            }
            Optional<HeldShard> held = last.held(shard);
            if (held.isPresent()
                    && best.filter(known -> known.beats(held.get())).isEmpty()) {
                best = Optional.of(new ShardHolder(last.status().node(), held.get()));
            }
        }
        return best;
    }

    /** Returns whether the peer, by its last status, stands in the failure domain. */
    public boolean standsIn(NodeId peer, FailureDomain domain) {
        LastStatus last = peers.get(peer);
        return last != null && last.status().domain().equals(domain);
    }

    private boolean silent(LastStatus last, long nowMillis) {
        if (!last.status().shards().isEmpty()) {
            return nowMillis - last.atMillis() > SILENCE_MILLIS;
        }
        if (neighboursSpeakOften && shouldSpeak(last.status())) {
            return nowMillis - Math.max(last.atMillis(), oftenSinceMillis) > SILENCE_MILLIS;
        }
        return nowMillis - last.atMillis() > DISTANT_SILENCE_MILLIS;
    }

    /** Returns whether the peer should speak to this node, so that its silence means something. */
    private boolean shouldSpeak(NodeStatus peer) {
        return allSpeak || !peer.shards().isEmpty() || neighbours.contains(peer.domain());
    }

    private ImmutableList<NodeStatus> statuses(Predicate<LastStatus> wanted) {
        ImmutableList.Builder<NodeStatus> statuses = ImmutableList.builder();
        for (LastStatus last : peers.values()) {
            if (last.present() && wanted.test(last)) {
                statuses.add(last.status());
            }
        }
        return statuses.build();
    }
}
