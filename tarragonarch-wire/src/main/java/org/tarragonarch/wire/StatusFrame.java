package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.report.NodeStatus;

/**
 * Tells a peer how this node stands.
 *
 * @param status the status
 */
public record StatusFrame(NodeStatus status) implements Frame {
    /** Checks the part. */
    public StatusFrame {
        checkNotNull(status, "status");
    }
}
