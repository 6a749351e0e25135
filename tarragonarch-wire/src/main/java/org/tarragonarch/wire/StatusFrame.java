package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.report.NodeStatus;

/**
 * The status of this node, for a peer.
 *
 * @param status the status
 */
public record StatusFrame(NodeStatus status) implements Frame {
    /** Checks the part. */
    public StatusFrame {
        checkNotNull(status, "status");
    }
}
