package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.report.NodeStatus;

/**
 * The status of the sending node.
 *
 * @param status the status
 */
public record StatusFrame(NodeStatus status) implements Frame {
    /** Checks that the status is not null. */
    public StatusFrame {
        checkNotNull(status, "status");
    }
}
