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
 * The other nodes: which are alive, and when each receives its next report.
 *
 * <p>A peer is alive while its reports arrive, whatever the platform's list contains, since the list lags and may be
 * unavailable. The list only provides the names and addresses of peers.
 *
 * <p>Not safe for use by several threads.
 */
public final class PeerDirectory {
    /** The maximum number of peers; reports from further ones are dropped. */
    private static final int MAX_PEERS = 2_048;

    /** How long an unlisted, silent peer is kept; it may merely be partitioned and still use its share of quotas. */
    private static final Duration FORGET_AFTER = Duration.ofMinutes(1);

    private final NodeIdentity self;
    private final long silenceNanos;
    private final PauseDetector pause;
    private final LinkChoice linkChoice;
    private final Reporter reporter;
    private final Map<NodeId, Peer> peers = new TreeMap<>();
    private ImmutableSet<NodeId> aliveInDomain;
    private ImmutableSet<NodeId> quotaSharers;
    private long nextSilenceCheckNanos = Long.MAX_VALUE;

    private PeerDirectory(NodeIdentity self, NodePolicy policy) {
        this.self = self;
        this.silenceNanos = policy.peerSilence().toNanos();
        this.pause = new PauseDetector(policy);
        this.linkChoice = new LinkChoice(self.node(), self.domain());
        this.reporter = new Reporter(self, new ReportPacer(policy));
        this.aliveInDomain = ImmutableSet.of(self.node());
        this.quotaSharers = aliveInDomain;
    }

    /** Returns an empty directory. */
    public static PeerDirectory create(NodeIdentity self, NodePolicy policy) {
        return new PeerDirectory(self, policy);
    }

    /** Updates the peers from the platform's list, and forgets unlisted peers that have been silent for a minute. */
    public void updateListed(ImmutableList<VmRecord> vms, long nowNanos, ActionSink sink) {
        peers.values().forEach(Peer::unlisted);
        for (VmRecord vm : vms) {
            if (vm.role() == VmRole.ENTRY && Names.isWellFormed(vm.name())) {
                NodeId node = NodeId.of(vm.name());
                find(node, () -> new Peer(node, vm.domain(), nowNanos)).ifPresent(peer -> peer.listed(vm, nowNanos));
            }
        }
        peers.values()
                .removeIf(peer -> !peer.listed()
                        && !peer.isAlive()
                        && nowNanos - pause.silentSinceNanos(peer.lastSignNanos()) > FORGET_AFTER.toNanos());
        refresh(nowNanos);
    }

    /** Records a report; returns false if it is dropped: stale, from this node's own name, or from a peer too many. */
    public boolean recordReport(PeerReport report, long nowNanos, ActionSink sink) {
        Optional<Peer> found = find(report.from(), () -> new Peer(report.from(), report.domain(), nowNanos));
        if (found.isEmpty() || found.get().isStale(report)) {
            sink.emit(Note.of(
                    NoteEvent.STALE_REPORT_DROPPED,
                    Step.PEER,
                    report.from().value(),
                    "run",
                    report.incarnation() + "/" + report.sequence()));
            return false;
        }
        Peer peer = found.get();
        boolean wasAlive = peer.isAlive();
        boolean tookWork = peer.takesWork();
        boolean missedLoads = peer.missesLoads();
        peer.recordReport(report, nowNanos);
        if (!wasAlive) {
            note(NoteEvent.PEER_ALIVE, peer, sink);
        }
        if (peer.missesLoads() && !missedLoads) {
            note(NoteEvent.REPORT_GAP, peer, sink);
        }
        nextSilenceCheckNanos = Math.min(nextSilenceCheckNanos, nowNanos + pause.maxCallGapNanos());
        if (!wasAlive || tookWork != peer.takesWork()) {
            refresh(nowNanos);
        }
        return true;
    }

    /** Detects silent peers and sends the reports that are due; cheap if nothing is due. */
    public void timePassed(long nowNanos, ReportSource source, ActionSink sink) {
        if (pause.recordCall(nowNanos)) {
            sink.emit(Note.of(
                    NoteEvent.SLEPT_PAST_LEASE, Step.LIFECYCLE, self.node().value()));
            // Peers may have dropped the loads of this node while it was silent.
            peers.values().forEach(peer -> peer.stream().requireFullReport());
        }
        if (nowNanos >= nextSilenceCheckNanos) {
            checkSilence(nowNanos, sink);
        }
        reporter.timePassed(peers, nowNanos, source, sink);
    }

    /**
     * Sends a report to every linked peer now if the urgent state has changed since the last one.
     *
     * <p>This is called for each answer of a leaving endpoint, thousands of times a second; only the first call finds a
     * change.
     */
    public void reportNow(long nowNanos, ReportSource source, ActionSink sink) {
        reporter.reportNow(peers, nowNanos, source, sink);
    }

    /** Returns when {@link #timePassed} is next due. */
    public long nextWakeNanos() {
        return Math.min(nextSilenceCheckNanos, reporter.nextRoundNanos());
    }

    /** Returns the live nodes of the own failure domain that accept work, including this one. */
    public ImmutableSet<NodeId> aliveInDomain() {
        return aliveInDomain;
    }

    /**
     * Returns the nodes that share the quotas of the own failure domain, including this one.
     *
     * <p>These are all nodes that are listed or have reported, including silent ones, since a partitioned node still
     * uses its share.
     */
    public ImmutableSet<NodeId> quotaSharers() {
        return quotaSharers;
    }

    /** Returns the status of each peer. */
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
        nextSilenceCheckNanos = Long.MAX_VALUE;
        boolean anySilent = false;
        for (Peer peer : peers.values()) {
            if (peer.isAlive()) {
                long due = pause.silentSinceNanos(peer.lastReportNanos()) + silenceNanos(peer);
                if (nowNanos >= due) {
                    peer.markSilent();
                    anySilent = true;
                    note(NoteEvent.PEER_SILENT, peer, sink);
                } else {
                    nextSilenceCheckNanos = Longs.min(nextSilenceCheckNanos, due, nowNanos + pause.maxCallGapNanos());
                }
            }
        }
        if (anySilent) {
            refresh(nowNanos);
        }
    }

    private long silenceNanos(Peer peer) {
        return peer.domain().equals(self.domain()) ? silenceNanos : silenceNanos * Reporter.ROUNDS_PER_FAR_REPORT;
    }

    private void refresh(long nowNanos) {
        ImmutableSet.Builder<NodeId> workers = ImmutableSet.builder();
        ImmutableSet.Builder<NodeId> alive = ImmutableSet.builder();
        workers.add(self.node());
        alive.add(self.node());
        ImmutableSet.Builder<NodeId> inDomain = ImmutableSet.builder();
        inDomain.add(self.node());
        for (Peer peer : peers.values()) {
            if (peer.domain().equals(self.domain())) {
                inDomain.add(peer.node());
                if (peer.isAlive()) {
                    alive.add(peer.node());
                }
                if (peer.takesWork()) {
                    workers.add(peer.node());
                }
            }
        }
        quotaSharers = inDomain.build();
        aliveInDomain = workers.build();
        reporter.setLinks(linkChoice.choose(reachable(), alive.build()), nowNanos);
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
