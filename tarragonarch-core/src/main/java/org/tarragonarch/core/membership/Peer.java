package org.tarragonarch.core.membership;

import java.util.Optional;
import org.tarragonarch.core.status.PeerStatus;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmState;
import org.tarragonarch.model.report.NodePhase;
import org.tarragonarch.model.report.PeerReport;

/** What is known of one other node, from the platform's list and from its own reports. */
final class Peer {
    private final NodeId node;
    private final ReportStream stream = new ReportStream();
    private FailureDomain domain;
    private Optional<Address> address = Optional.empty();
    private boolean listed;
    private boolean isListedLive;
    private boolean isAlive;
    private boolean missesLoads;
    private Optional<Incarnation> run = Optional.empty();
    private long sequence;
    private long lastReportNanos;
    private long lastSignNanos;
    private NodePhase phase = NodePhase.STARTING;
    private ConfigurationVersion configuration = ConfigurationVersion.NONE;

    Peer(NodeId node, FailureDomain domain, long nowNanos) {
        this.node = node;
        this.domain = domain;
        this.lastSignNanos = nowNanos;
    }

    NodeId node() {
        return node;
    }

    FailureDomain domain() {
        return domain;
    }

    /** Returns where the peer listens; empty while no list has named it. */
    Optional<Address> address() {
        return address;
    }

    /** Returns the numbering and deltas of what this node reports to the peer. */
    ReportStream stream() {
        return stream;
    }

    boolean isAlive() {
        return isAlive;
    }

    /** Returns whether the list names the peer as one that stays. */
    boolean isListedLive() {
        return isListedLive;
    }

    boolean takesWork() {
        return isAlive && phase.takesWork();
    }

    /** Returns whether a report was lost, so that the peer's loads may be partly old until its next full report. */
    boolean missesLoads() {
        return missesLoads;
    }

    /** Returns when the last report came in; of no meaning if none did. */
    long lastReportNanos() {
        return lastReportNanos;
    }

    /** Returns when the peer last reported or was listed. */
    long lastSignNanos() {
        return lastSignNanos;
    }

    boolean listed() {
        return listed;
    }

    void listed(VmRecord vm, long nowNanos) {
        listed = true;
        isListedLive = vm.state() == VmState.LIVE;
        address = Optional.of(vm.address());
        lastSignNanos = nowNanos;
        if (run.isEmpty()) {
            domain = vm.domain();
        }
    }

    void unlisted() {
        listed = false;
        isListedLive = false;
    }

    /** Returns whether a report is of an earlier run, or comes after a later one of the same run. */
    boolean isStale(PeerReport report) {
        int order = run.map(known -> report.incarnation().compareTo(known)).orElse(1);
        return order < 0 || (order == 0 && report.sequence() <= sequence);
    }

    /** Records a report that is not old. */
    void recordReport(PeerReport report, long nowNanos) {
        boolean newRun = run.filter(report.incarnation()::equals).isEmpty();
        boolean gap = newRun || report.sequence() != sequence + 1;
        missesLoads = !report.full() && (missesLoads || gap);
        if (newRun || !isAlive) {
            // It knows nothing of this node yet, or has dropped what it knew while no report came in.
            stream.requireFullReport();
        }
        run = Optional.of(report.incarnation());
        sequence = report.sequence();
        domain = report.domain();
        phase = report.phase();
        configuration = report.configuration();
        isAlive = true;
        lastReportNanos = nowNanos;
        lastSignNanos = nowNanos;
    }

    void markSilent() {
        isAlive = false;
    }

    PeerStatus status() {
        return new PeerStatus(node, domain, isAlive, phase, configuration);
    }
}
