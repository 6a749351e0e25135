package org.tarragonarch.core.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.Longs;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.node.NodeIdentity;
import org.tarragonarch.core.node.NodePolicy;
import org.tarragonarch.core.status.PeerStatus;
import org.tarragonarch.model.id.Names;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.model.report.PeerReport;

/**
 * The other nodes: which are alive, and when each gets its next report.
 *
 * <p>A peer is alive while its reports come in, whatever the platform's list says: the list lags, and may be out. The
 * list says only where a peer listens, and that it exists.
 *
 * <p>Not safe for use by several threads.
 */
public final class PeerDirectory {
    /** The most peers kept; reports of others are dropped. */
    private static final int MAX_PEERS = 2_048;

    /** How long a peer that is neither listed nor reports is kept; it may only be cut off and still use its share. */
    private static final Duration FORGET_AFTER = Duration.ofMinutes(1);

    private final NodeIdentity self;
    private final long silenceNanos;
    private final PauseDetector pause;
    private final LinkChoice linkChoice;
    private final Reporter reporter;
    private final Map<NodeId, Peer> peers = new TreeMap<>();
    private ImmutableSet<NodeId> aliveInDomain;
    private ImmutableSet<NodeId> sharers;
    private long nextCheckNanos = Long.MAX_VALUE;

    private PeerDirectory(NodeIdentity self, NodePolicy policy) {
        this.self = self;
        this.silenceNanos = policy.peerSilence().toNanos();
        this.pause = new PauseDetector(policy);
        this.linkChoice = new LinkChoice(self.node(), self.domain());
        this.reporter = new Reporter(self, new ReportPacer(policy));
        this.aliveInDomain = ImmutableSet.of(self.node());
        this.sharers = aliveInDomain;
    }

    /** Returns a directory that knows no peer. */
    public static PeerDirectory create(NodeIdentity self, NodePolicy policy) {
        return new PeerDirectory(self, policy);
    }

    /** Updates the endpoints from the platform's list. */
    public void listed(ImmutableList<VmRecord> vms, long nowNanos, ActionSink sink) {
        peers.values().forEach(Peer::unlisted);
        for (VmRecord vm : vms) {
            if (vm.role() == VmRole.ENTRY && Names.isWellFormed(vm.name())) {
                NodeId node = NodeId.of(vm.name());
                find(node, () -> new Peer(node, vm.domain(), nowNanos)).ifPresent(peer -> peer.listed(vm, nowNanos));
            }
        }
        peers.values()
                .removeIf(peer -> !peer.listed()
                        && !peer.alive()
                        && nowNanos - pause.since(peer.lastSignNanos()) > FORGET_AFTER.toNanos());
        changed(nowNanos);
    }

    /** Records a report; returns whether it is news, and not from an earlier run or out of order. */
    public boolean heard(PeerReport report, long nowNanos, ActionSink sink) {
        Optional<Peer> found = find(report.from(), () -> new Peer(report.from(), report.domain(), nowNanos));
        if (found.isEmpty() || found.get().isOld(report)) {
            sink.emit(Note.of(
                    NoteEvent.STALE_REPORT_DROPPED,
                    Step.PEER,
                    report.from().value(),
                    "run",
                    report.incarnation() + "/" + report.sequence()));
            return false;
        }
        Peer peer = found.get();
        boolean wasAlive = peer.alive();
        boolean tookWork = peer.takesWork();
        boolean wasBehind = peer.behind();
        peer.heard(report, nowNanos);
        if (!wasAlive) {
            note(NoteEvent.PEER_ALIVE, peer, sink);
        }
        if (peer.behind() && !wasBehind) {
            note(NoteEvent.REPORT_GAP, peer, sink);
        }
        nextCheckNanos = Math.min(nextCheckNanos, nowNanos + pause.callNanos());
        if (!wasAlive || tookWork != peer.takesWork()) {
            changed(nowNanos);
        }
        return true;
    }

    /** Notes peers that fell silent and sends the reports that are due; costs next to nothing when nothing is due. */
    public void timePassed(long nowNanos, ReportSource source, ActionSink sink) {
        if (pause.called(nowNanos)) {
            sink.emit(Note.of(
                    NoteEvent.SLEPT_PAST_LEASE, Step.LIFECYCLE, self.node().value()));
            // Peers have dropped what they knew of a node that they did not hear.
            peers.values().forEach(peer -> peer.stream().startOver());
        }
        if (nowNanos >= nextCheckNanos) {
            checkSilence(nowNanos, sink);
        }
        reporter.timePassed(peers, nowNanos, source, sink);
    }

    /**
     * Sends every peer a report now, if what must be known at once has changed since the last one.
     *
     * <p>Called for each answer of an endpoint that is leaving, thousands a second; only the first brings news.
     */
    public void reportNow(long nowNanos, ReportSource source, ActionSink sink) {
        reporter.reportNow(peers, nowNanos, source, sink);
    }

    /** Returns when {@link #timePassed} is next due. */
    public long nextWakeNanos() {
        return Math.min(nextCheckNanos, reporter.nextRoundNanos());
    }

    /** Returns the nodes of the own failure domain that are alive and take work, this one among them. */
    public ImmutableSet<NodeId> aliveInDomain() {
        return aliveInDomain;
    }

    /**
     * Returns the nodes among which a quota of the own failure domain must be shared, this one among them.
     *
     * <p>Holds every node that the list names or that has reported, also silent ones: a node that is only cut off still
     * uses its share.
     */
    public ImmutableSet<NodeId> sharers() {
        return sharers;
    }

    /** Returns a line for each peer. */
    public ImmutableList<PeerStatus> status() {
        return peers.values().stream().map(Peer::status).collect(ImmutableList.toImmutableList());
    }

    private Optional<Peer> find(NodeId node, Supplier<Peer> create) {
        if (node.equals(self.node())) {
            return Optional.empty();
        }
        Peer known = peers.get(node);
        if (known == null && peers.size() < MAX_PEERS) {
            known = create.get();
            peers.put(node, known);
        }
        return Optional.ofNullable(known);
    }

    private void checkSilence(long nowNanos, ActionSink sink) {
        nextCheckNanos = Long.MAX_VALUE;
        boolean fell = false;
        for (Peer peer : peers.values()) {
            if (peer.alive()) {
                long due = pause.since(peer.heardNanos()) + silenceNanos(peer);
                if (nowNanos >= due) {
                    peer.silent();
                    fell = true;
                    note(NoteEvent.PEER_SILENT, peer, sink);
                } else {
                    nextCheckNanos = Longs.min(nextCheckNanos, due, nowNanos + pause.callNanos());
                }
            }
        }
        if (fell) {
            changed(nowNanos);
        }
    }

    private long silenceNanos(Peer peer) {
        return peer.domain().equals(self.domain()) ? silenceNanos : silenceNanos * Reporter.ROUNDS_PER_FAR_REPORT;
    }

    private void changed(long nowNanos) {
        ImmutableSet.Builder<NodeId> workers = ImmutableSet.builder();
        ImmutableSet.Builder<NodeId> alive = ImmutableSet.builder();
        workers.add(self.node());
        alive.add(self.node());
        ImmutableSet.Builder<NodeId> inDomain = ImmutableSet.builder();
        inDomain.add(self.node());
        for (Peer peer : peers.values()) {
            if (peer.domain().equals(self.domain())) {
                inDomain.add(peer.node());
                if (peer.alive()) {
                    alive.add(peer.node());
                }
                if (peer.takesWork()) {
                    workers.add(peer.node());
                }
            }
        }
        sharers = inDomain.build();
        aliveInDomain = workers.build();
        reporter.links(linkChoice.choose(reachable(), alive.build()), nowNanos);
    }

    private ImmutableList<Peer> reachable() {
        return peers.values().stream()
                .filter(peer -> peer.address().isPresent())
                .collect(ImmutableList.toImmutableList());
    }

    private static void note(NoteEvent event, Peer peer, ActionSink sink) {
        sink.emit(new Note(
                event,
                Step.PEER,
                peer.node().value(),
                ImmutableMap.of("domain", peer.domain().value())));
    }
}
