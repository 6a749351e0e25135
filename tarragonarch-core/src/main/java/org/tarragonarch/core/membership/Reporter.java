package org.tarragonarch.core.membership;

import static java.util.Comparator.comparingLong;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.SendReport;
import org.tarragonarch.core.node.NodeIdentity;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.EndpointLoad;
import org.tarragonarch.model.report.PeerReport;

/**
 * Sends the reports, in rounds: one to each linked peer.
 *
 * <p>Peers of other failure domains learn nothing from a report but that this node lives, and what is urgent goes to
 * them at once; so without urgent news they are left out of most rounds.
 */
final class Reporter {
    /** The least time between two looks for urgent news, so that a burst of asking costs little. */
    private static final long URGENT_GAP_NANOS = Duration.ofMillis(50).toNanos();

    /** Of so many rounds without urgent news, one also goes to peers of other failure domains. */
    static final int ROUNDS_PER_FAR_REPORT = 3;

    private final NodeIdentity self;
    private final ReportPacer pacer;
    private ImmutableSet<NodeId> setLinks = ImmutableSet.of();
    private Optional<UrgentState> reported = Optional.empty();
    private ImmutableMap<EndpointId, Integer> loadsBefore = ImmutableMap.of();
    private int roundsUntilFar;
    private long nextRoundNanos = Long.MAX_VALUE;
    private long nextUrgentNanos = Long.MAX_VALUE;
    private long urgentLookNanos = Long.MIN_VALUE;

    Reporter(NodeIdentity self, ReportPacer pacer) {
        this.self = self;
        this.pacer = pacer;
    }

    /** Returns when something may next be due. */
    long nextRoundNanos() {
        return Math.min(nextRoundNanos, nextUrgentNanos);
    }

    /** Records the peers that get reports from now on; a new one gets its first at once. */
    void setLinks(ImmutableSet<NodeId> now, long nowNanos) {
        if (!setLinks.containsAll(now)) {
            roundsUntilFar = 0;
            nextRoundNanos = nowNanos;
        }
        setLinks = now;
        if (setLinks.isEmpty()) {
            nextRoundNanos = Long.MAX_VALUE;
            nextUrgentNanos = Long.MAX_VALUE;
        }
    }

    void timePassed(Map<NodeId, Peer> peers, long nowNanos, ReportSource source, ActionSink sink) {
        if (setLinks.isEmpty()) {
            return;
        }
        boolean newPhase =
                reported.filter(last -> last.phase() != source.phase()).isPresent();
        if (nowNanos >= nextRoundNanos || newPhase) {
            round(peers, UrgentState.of(source), nowNanos, source, sink);
        } else if (nowNanos >= nextUrgentNanos) {
            reportNow(peers, nowNanos, source, sink);
        }
    }

    /** Sends a round if there is urgent news; asked again within the gap, looks once more at its end. */
    void reportNow(Map<NodeId, Peer> peers, long nowNanos, ReportSource source, ActionSink sink) {
        if (setLinks.isEmpty()) {
            return;
        }
        if (urgentLookNanos != Long.MIN_VALUE && nowNanos - urgentLookNanos < URGENT_GAP_NANOS) {
            nextUrgentNanos = urgentLookNanos + URGENT_GAP_NANOS;
            return;
        }
        urgentLookNanos = nowNanos;
        nextUrgentNanos = Long.MAX_VALUE;
        UrgentState urgent = UrgentState.of(source);
        if (!reported.equals(Optional.of(urgent))) {
            round(peers, urgent, nowNanos, source, sink);
        }
    }

    private void round(
            Map<NodeId, Peer> peers, UrgentState urgent, long nowNanos, ReportSource source, ActionSink sink) {
        ImmutableMap<EndpointId, Integer> loads = source.loads().stream()
                .collect(ImmutableMap.toImmutableMap(EndpointLoad::endpoint, EndpointLoad::inFlight));
        pacer.timePassed(nowNanos);
        boolean far = roundsUntilFar == 0 || !reported.equals(Optional.of(urgent));
        roundsUntilFar = far ? ROUNDS_PER_FAR_REPORT - 1 : roundsUntilFar - 1;
        long bytes = 0;
        for (Peer peer : longestUntoldFirst(peers)) {
            if (far || peer.domain().equals(self.domain())) {
                bytes += report(peer, urgent, loads, nowNanos, sink);
            }
        }
        nextRoundNanos = nowNanos + pacer.nanosUntilNextRound(!loads.equals(loadsBefore), bytes);
        loadsBefore = loads;
        reported = Optional.of(urgent);
        // The round sent all there is, also what a look at the end of the gap would have found.
        nextUrgentNanos = Long.MAX_VALUE;
    }

    private ImmutableList<Peer> longestUntoldFirst(Map<NodeId, Peer> peers) {
        return setLinks.stream()
                .map(peers::get)
                .filter(Objects::nonNull)
                .sorted(comparingLong(peer -> peer.stream().loadsSentNanos()))
                .collect(ImmutableList.toImmutableList());
    }

    private long report(
            Peer peer, UrgentState urgent, ImmutableMap<EndpointId, Integer> loads, long nowNanos, ActionSink sink) {
        int always = urgent.leaving().size() + urgent.quarantined().size();
        LoadUpdate news = LoadUpdate.NONE;
        if (peer.domain().equals(self.domain())) {
            LoadUpdate wanted = peer.stream().pendingLoads(loads);
            if (pacer.canAfford(
                    ReportPacer.estimatedBytes(always + wanted.loads().size()))) {
                news = wanted;
                peer.stream().recordSent(wanted, nowNanos);
            }
        }
        long cost = ReportPacer.estimatedBytes(always + news.loads().size());
        pacer.spend(cost);
        PeerReport report = new PeerReport(
                self.node(),
                self.incarnation(),
                peer.stream().nextSequence(),
                self.domain(),
                urgent.phase(),
                urgent.configuration(),
                news.loads(),
                news.full(),
                urgent.leaving(),
                urgent.quarantined());
        sink.emit(new SendReport(peer.node(), peer.address().orElseThrow(), report));
        return cost;
    }
}
