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
 * Sends reports in rounds, one report to each linked peer.
 *
 * <p>Most rounds omit peers of other failure domains. They need a report only as a sign of life, apart from changes of
 * the urgent state, which are sent to every linked peer at once.
 */
final class Reporter {
    /** The minimum time between two checks for a change of the urgent state; limits the cost of bursts of calls. */
    private static final long URGENT_GAP_NANOS = Duration.ofMillis(50).toNanos();

    /** Without urgent changes, one in this many rounds includes peers of other failure domains. */
    static final int ROUNDS_PER_FAR_REPORT = 3;

    private final NodeIdentity self;
    private final ReportPacer pacer;
    private ImmutableSet<NodeId> links = ImmutableSet.of();
    private Optional<UrgentState> lastUrgent = Optional.empty();
    private ImmutableMap<EndpointId, Integer> lastLoads = ImmutableMap.of();
    private int roundsUntilFarReport;
    private long nextRoundNanos = Long.MAX_VALUE;
    private long nextUrgentCheckNanos = Long.MAX_VALUE;
    private long urgentCheckNanos = Long.MIN_VALUE;

    Reporter(NodeIdentity self, ReportPacer pacer) {
        this.self = self;
        this.pacer = pacer;
    }

    /** Returns when the next round or check for an urgent change is due. */
    long nextRoundNanos() {
        return Math.min(nextRoundNanos, nextUrgentCheckNanos);
    }

    /** Sets the peers that receive reports; a new one causes a round at once. */
    void setLinks(ImmutableSet<NodeId> now, long nowNanos) {
        if (!links.containsAll(now)) {
            roundsUntilFarReport = 0;
            nextRoundNanos = nowNanos;
        }
        links = now;
        if (links.isEmpty()) {
            nextRoundNanos = Long.MAX_VALUE;
            nextUrgentCheckNanos = Long.MAX_VALUE;
        }
    }

    void timePassed(Map<NodeId, Peer> peers, long nowNanos, ReportSource source, ActionSink sink) {
        if (links.isEmpty()) {
            return;
        }
        boolean newPhase =
                lastUrgent.filter(last -> last.phase() != source.phase()).isPresent();
        if (nowNanos >= nextRoundNanos || newPhase) {
            sendRound(peers, UrgentState.of(source), nowNanos, source, sink);
        } else if (nowNanos >= nextUrgentCheckNanos) {
            reportNow(peers, nowNanos, source, sink);
        }
    }

    /**
     * Sends a round if the urgent state has changed.
     *
     * <p>A call less than 50 ms after the last check is postponed to the end of that time.
     */
    void reportNow(Map<NodeId, Peer> peers, long nowNanos, ReportSource source, ActionSink sink) {
        if (links.isEmpty()) {
            return;
        }
        if (urgentCheckNanos != Long.MIN_VALUE && nowNanos - urgentCheckNanos < URGENT_GAP_NANOS) {
            nextUrgentCheckNanos = urgentCheckNanos + URGENT_GAP_NANOS;
            return;
        }
        urgentCheckNanos = nowNanos;
        nextUrgentCheckNanos = Long.MAX_VALUE;
        UrgentState urgent = UrgentState.of(source);
        if (!lastUrgent.equals(Optional.of(urgent))) {
            sendRound(peers, urgent, nowNanos, source, sink);
        }
    }

    private void sendRound(
            Map<NodeId, Peer> peers, UrgentState urgent, long nowNanos, ReportSource source, ActionSink sink) {
        ImmutableMap<EndpointId, Integer> loads = source.loads().stream()
                .collect(ImmutableMap.toImmutableMap(EndpointLoad::endpoint, EndpointLoad::inFlight));
        pacer.timePassed(nowNanos);
        boolean includesFar = roundsUntilFarReport == 0 || !lastUrgent.equals(Optional.of(urgent));
        roundsUntilFarReport = includesFar ? ROUNDS_PER_FAR_REPORT - 1 : roundsUntilFarReport - 1;
        long bytes = 0;
        for (Peer peer : oldestLoadsFirst(peers)) {
            if (includesFar || peer.domain().equals(self.domain())) {
                bytes += report(peer, urgent, loads, nowNanos, sink);
            }
        }
        nextRoundNanos = nowNanos + pacer.nanosUntilNextRound(!loads.equals(lastLoads), bytes);
        lastLoads = loads;
        lastUrgent = Optional.of(urgent);
        // The round included the urgent state, so a postponed check is no longer needed.
        nextUrgentCheckNanos = Long.MAX_VALUE;
    }

    private ImmutableList<Peer> oldestLoadsFirst(Map<NodeId, Peer> peers) {
        return links.stream()
                .map(peers::get)
                .filter(Objects::nonNull)
                .sorted(comparingLong(peer -> peer.stream().loadsSentNanos()))
                .collect(ImmutableList.toImmutableList());
    }

    private long report(
            Peer peer, UrgentState urgent, ImmutableMap<EndpointId, Integer> loads, long nowNanos, ActionSink sink) {
        int urgentEndpoints = urgent.leaving().size() + urgent.quarantined().size();
        LoadUpdate update = LoadUpdate.NONE;
        if (peer.domain().equals(self.domain())) {
            LoadUpdate pending = peer.stream().pendingLoads(loads);
            if (pacer.canAfford(
                    ReportPacer.estimatedBytes(urgentEndpoints + pending.loads().size()))) {
                update = pending;
                peer.stream().recordSent(pending, nowNanos);
            }
        }
        long cost = ReportPacer.estimatedBytes(urgentEndpoints + update.loads().size());
        pacer.spend(cost);
        PeerReport report = new PeerReport(
                self.node(),
                self.incarnation(),
                peer.stream().nextSequence(),
                self.domain(),
                urgent.phase(),
                urgent.configuration(),
                update.loads(),
                update.full(),
                urgent.leaving(),
                urgent.quarantined());
        sink.emit(new SendReport(peer.node(), peer.address().orElseThrow(), report));
        return cost;
    }
}
