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

/** The state of another node, known from the platform's list and from the node's reports. */
final class Peer {
    private final NodeId node;
    private final ReportStream stream = new ReportStream();
    private FailureDomain domain;
    private Optional<Address> address = Optional.empty();
    private boolean listed;
    private boolean listedLive;
    private boolean alive;
    private boolean missesLoads;
    private Optional<Incarnation> incarnation = Optional.empty();
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

    /** Returns the address on which the peer listens; empty until a list has named it. */
    Optional<Address> address() {
        return address;
    }

    /** Returns the state of the reports that this node sends to the peer. */
    ReportStream stream() {
        return stream;
    }

    boolean isAlive() {
        return alive;
    }

    /** Returns whether the list has the peer as {@link VmState#LIVE}. */
    boolean isListedLive() {
        return listedLive;
    }

    boolean takesWork() {
        return alive && phase.takesWork();
    }

    /** Returns whether a report was lost, so that some loads of the peer may be outdated until its next full report. */
    boolean missesLoads() {
        return missesLoads;
    }

    /** Returns when the last report arrived; undefined if none did. */
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
        listedLive = vm.state() == VmState.LIVE;
        address = Optional.of(vm.address());
        lastSignNanos = nowNanos;
        if (incarnation.isEmpty()) {
            domain = vm.domain();
        }
    }

    void unlisted() {
        listed = false;
        listedLive = false;
    }

    /**
     * Returns whether a report is from an earlier incarnation, or not newer than the last one of the same incarnation.
     */
    boolean isStale(PeerReport report) {
        int order =
                incarnation.map(known -> report.incarnation().compareTo(known)).orElse(1);
        return order < 0 || (order == 0 && report.sequence() <= sequence);
    }

    /** Records a report that is not stale. */
    void recordReport(PeerReport report, long nowNanos) {
        boolean isNewIncarnation =
                incarnation.filter(report.incarnation()::equals).isEmpty();
        boolean gap = isNewIncarnation || report.sequence() != sequence + 1;
        missesLoads = !report.full() && (missesLoads || gap);
        if (isNewIncarnation || !alive) {
            // The peer knows no loads of this node, or may have dropped them while it was silent.
            stream.requireFullReport();
        }
        incarnation = Optional.of(report.incarnation());
        sequence = report.sequence();
        domain = report.domain();
        phase = report.phase();
        configuration = report.configuration();
        alive = true;
        lastReportNanos = nowNanos;
        lastSignNanos = nowNanos;
    }

    void markSilent() {
        alive = false;
    }

    PeerStatus status() {
        return new PeerStatus(node, domain, alive, phase, configuration);
    }
}
