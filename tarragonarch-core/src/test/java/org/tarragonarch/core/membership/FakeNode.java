package org.tarragonarch.core.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.tarragonarch.core.action.Action;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.action.SendReport;
import org.tarragonarch.core.node.NodeIdentity;
import org.tarragonarch.core.node.NodePolicy;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.model.platform.VmState;
import org.tarragonarch.model.report.EndpointLoad;
import org.tarragonarch.model.report.NodePhase;
import org.tarragonarch.model.report.PeerReport;

/** A node that consists of a directory of peers and the contents of its reports. */
final class FakeNode implements ReportSource {
    /** Fixes the intervals on which the times in tests depend, so that changes of the defaults do not affect them. */
    private static final NodePolicy POLICY = new NodePolicy(
            NodePolicy.DEFAULT.vmListInterval(),
            NodePolicy.DEFAULT.configurationInterval(),
            Duration.ofMillis(250),
            Duration.ofSeconds(2),
            NodePolicy.DEFAULT.claimTimeout(),
            NodePolicy.DEFAULT.keptAnswer(),
            NodePolicy.DEFAULT.maxKeptAnswers(),
            NodePolicy.DEFAULT.drainDelay(),
            NodePolicy.DEFAULT.drainDeadline(),
            NodePolicy.DEFAULT.placement());

    final NodeIdentity identity;
    final PeerDirectory directory;
    final List<Action> actions = new ArrayList<>();
    final TreeMap<EndpointId, Integer> loads = new TreeMap<>();
    NodePhase phase = NodePhase.SERVING;
    ConfigurationVersion configuration = ConfigurationVersion.of(1);
    ImmutableSet<EndpointId> leaving = ImmutableSet.of();

    FakeNode(String name, String domain, long run) {
        identity = new NodeIdentity(
                NodeId.of(name), Incarnation.of(run), FailureDomain.of(domain), new Address("127.0.0.1", 8301));
        directory = PeerDirectory.create(identity, POLICY);
    }

    static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    static VmRecord vm(String name, String domain) {
        return new VmRecord(
                name,
                VmRole.ENTRY,
                FailureDomain.of(domain),
                new Address("127.0.0.1", 8301),
                VmState.LIVE,
                ImmutableSet.of(),
                0);
    }

    VmRecord vm() {
        return vm(identity.node().value(), identity.domain().value());
    }

    void updateListed(long millis, VmRecord... vms) {
        directory.updateListed(ImmutableList.copyOf(vms), millis(millis), actions::add);
    }

    boolean recordReport(long millis, PeerReport report) {
        return directory.recordReport(report, millis(millis), actions::add);
    }

    /** Reports the passing of time when it is due, checking every 10 ms as the node's shell does. */
    void run(long fromMillis, long toMillis) {
        for (long now = fromMillis; now <= toMillis; now += 10) {
            if (millis(now) >= directory.nextWakeNanos()) {
                timePassed(now);
            }
        }
    }

    void timePassed(long millis) {
        directory.timePassed(millis(millis), this, actions::add);
    }

    void reportNow(long millis) {
        directory.reportNow(millis(millis), this, actions::add);
    }

    /** Returns the reports sent since the last call. */
    ImmutableList<SendReport> takeSent() {
        ImmutableList<SendReport> sent = actions.stream()
                .filter(SendReport.class::isInstance)
                .map(SendReport.class::cast)
                .collect(ImmutableList.toImmutableList());
        actions.removeAll(sent);
        return sent;
    }

    /** Returns the peers for which an event was noted, in order. */
    ImmutableList<String> peersNoted(NoteEvent event) {
        return actions.stream()
                .filter(Note.class::isInstance)
                .map(Note.class::cast)
                .filter(note -> note.event() == event)
                .map(Note::peer)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns a full report of this node as sent to another. */
    PeerReport report(long sequence) {
        return new PeerReport(
                identity.node(),
                identity.incarnation(),
                sequence,
                identity.domain(),
                phase,
                configuration,
                loads(),
                true,
                leaving,
                ImmutableSet.of());
    }

    @Override
    public NodePhase phase() {
        return phase;
    }

    @Override
    public ConfigurationVersion configuration() {
        return configuration;
    }

    @Override
    public ImmutableList<EndpointLoad> loads() {
        return loads.entrySet().stream()
                .map(entry -> new EndpointLoad(entry.getKey(), entry.getValue()))
                .collect(ImmutableList.toImmutableList());
    }

    @Override
    public ImmutableSet<EndpointId> leaving() {
        return leaving;
    }

    @Override
    public ImmutableSet<EndpointId> quarantined() {
        return ImmutableSet.of();
    }
}
