package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.report.PeerReport;

/**
 * The periodic report of the sending node.
 *
 * <p>The node, its incarnation and its domain are not in the frame: they are those of the connection's {@link Hello},
 * so a report costs less and cannot claim to be another node's.
 *
 * @param report the report
 */
public record ReportFrame(PeerReport report) implements Frame {
    /** Checks the parts. */
    public ReportFrame {
        checkNotNull(report, "report");
    }
}
