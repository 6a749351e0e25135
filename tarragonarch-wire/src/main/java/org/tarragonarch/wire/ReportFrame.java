package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.report.PeerReport;

/**
 * The periodic report of the sending node.
 *
 * <p>The node, its incarnation and its domain are not encoded: the receiver takes them from the {@link Hello} of the
 * connection, so a report is shorter and cannot be attributed to another node.
 *
 * @param report the report
 */
public record ReportFrame(PeerReport report) implements Frame {
    /** Checks that the report is not null. */
    public ReportFrame {
        checkNotNull(report, "report");
    }
}
