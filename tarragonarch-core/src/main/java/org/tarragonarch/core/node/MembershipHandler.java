package org.tarragonarch.core.node;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.time.Duration;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.ReadVmList;
import org.tarragonarch.core.event.PeerReported;
import org.tarragonarch.core.event.VmListRead;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.model.report.PeerReport;

/** Tracks the nodes and endpoints, from the platform's list of VMs and the reports of peers. */
final class MembershipHandler {
    private final NodeParts parts;
    private final LifecycleHandler lifecycle;
    private final Duration vmListInterval;
    private ImmutableSet<NodeId> aliveNodes = ImmutableSet.of();
    private long nextVmListNanos = Long.MIN_VALUE;

    MembershipHandler(NodeParts parts, LifecycleHandler lifecycle, Duration vmListInterval) {
        this.parts = parts;
        this.lifecycle = lifecycle;
        this.vmListInterval = vmListInterval;
    }

    void register(EventHandlers handlers) {
        handlers.register(PeerReported.class, this::peerReported);
        handlers.register(VmListRead.class, this::vmListRead);
    }

    /** Requests the platform's list of VMs if it is due. */
    void readVmListIfDue(long nowNanos, ActionSink sink) {
        if (nowNanos >= nextVmListNanos) {
            nextVmListNanos = nowNanos + vmListInterval.toNanos();
            sink.emit(new ReadVmList());
        }
    }

    /** Sends the reports that are due, and treats peers that have been silent for too long as gone. */
    void timePassed(long nowNanos, ActionSink sink) {
        parts.peers.timePassed(nowNanos, parts.reportSource, sink);
        membershipChanged(nowNanos, sink);
    }

    /** Returns when {@link #readVmListIfDue} or {@link #timePassed} is next due. */
    long nextWakeNanos() {
        return Math.min(nextVmListNanos, parts.peers.nextWakeNanos());
    }

    private void peerReported(PeerReported reported, long nowNanos, ActionSink sink) {
        PeerReport report = reported.report();
        if (!parts.peers.recordReport(report, nowNanos, sink)) {
            return;
        }
        parts.endpoints.peerReported(report, nowNanos, sink);
        parts.configuration.peerVersionReported(report.from(), report.configuration(), nowNanos, sink);
        membershipChanged(nowNanos, sink);
        parts.dispatcher.markAllServicesChanged();
    }

    private void vmListRead(VmListRead read, long nowNanos, ActionSink sink) {
        parts.peers.updateListed(read.vms(), nowNanos, sink);
        parts.endpoints.vmListRead(read.vms(), nowNanos, sink);
        long nodes = read.vms().stream().filter(vm -> vm.role() == VmRole.ENTRY).count();
        parts.keys.setWriters(Math.toIntExact(nodes));
        membershipChanged(nowNanos, sink);
        lifecycle.vmListRead(sink);
        parts.dispatcher.markAllServicesChanged();
    }

    private void membershipChanged(long nowNanos, ActionSink sink) {
        ImmutableSet<NodeId> now = parts.peers.aliveInDomain();
        if (!now.equals(aliveNodes)) {
            ImmutableSet<NodeId> before = aliveNodes;
            aliveNodes = now;
            parts.endpoints.setAliveNodes(now, nowNanos, sink);
            Sets.difference(before, now).forEach(gone -> parts.keys.holderSilent(gone, nowNanos, sink));
        }
        parts.quotas.setSharers(parts.peers.quotaSharers());
        parts.services.setSharers(parts.peers.quotaSharers());
    }
}
