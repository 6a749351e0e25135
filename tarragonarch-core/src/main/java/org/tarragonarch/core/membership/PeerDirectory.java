package org.tarragonarch.core.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.node.NodeIdentity;
import org.tarragonarch.core.node.NodePolicy;
import org.tarragonarch.core.status.PeerStatus;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.report.PeerReport;

/**
 * The other nodes: which are alive, and when each gets its next report.
 *
 * <p>Not safe for use by several threads.
 */
public final class PeerDirectory {
    private final NodeIdentity self;

    private PeerDirectory(NodeIdentity self, NodePolicy policy) {
        this.self = self;
    }

    /** Returns a directory that knows no peer. */
    public static PeerDirectory create(NodeIdentity self, NodePolicy policy) {
        return new PeerDirectory(self, policy);
    }

    /** Takes in the platform's list. */
    public void listed(ImmutableList<VmRecord> vms, long nowNanos, ActionSink sink) {}

    /** Takes in a report; returns whether it is news, and not from an earlier run or out of order. */
    public boolean heard(PeerReport report, long nowNanos, ActionSink sink) {
        return false;
    }

    /** Notes peers that fell silent and sends the reports that are due. */
    public void timePassed(long nowNanos, ReportSource source, ActionSink sink) {}

    /** Sends every peer a report now, because something must be known at once. */
    public void reportNow(long nowNanos, ReportSource source, ActionSink sink) {}

    /** Returns when {@link #timePassed} is next due. */
    public long nextWakeNanos() {
        return Long.MAX_VALUE;
    }

    /** Returns the nodes of the own failure domain that are alive and take work, this one among them. */
    public ImmutableSet<NodeId> aliveInDomain() {
        return ImmutableSet.of(self.node());
    }

    /**
     * Returns among how many nodes a quota of the own failure domain must be shared.
     *
     * <p>Counts every node that the list names or that was heard, also silent ones: a node that is only cut off still
     * uses its share.
     */
    public int sharers() {
        return 1;
    }

    /** Returns a line for each peer. */
    public ImmutableList<PeerStatus> status() {
        return ImmutableList.of();
    }
}
