package org.tarragonarch.core.membership;

import org.tarragonarch.core.node.NodePolicy;

/**
 * Tells whether this node itself slept.
 *
 * <p>Guards against a process that was stopped and woken: its peers' reports wait unread, so by its clock all of them
 * are silent, and it would take every slot of the domain for its own. The node is called at least every third of
 * {@code peerSilence}, so a longer gap between two calls is its own doing; the peers get a whole {@code peerSilence}
 * from the waking on.
 */
final class PauseDetector {
    private final long boundNanos;
    private long lastCallNanos = Long.MIN_VALUE;
    private long awakeSinceNanos = Long.MIN_VALUE;

    PauseDetector(NodePolicy policy) {
        this.boundNanos = policy.peerSilence().toNanos() / 2;
    }

    /** Takes in a call; returns whether the node slept before it. */
    boolean called(long nowNanos) {
        boolean slept = lastCallNanos != Long.MIN_VALUE && nowNanos - lastCallNanos > boundNanos;
        lastCallNanos = nowNanos;
        if (slept) {
            awakeSinceNanos = nowNanos;
        }
        return slept;
    }

    /** Returns when a peer last had its chance to be heard: its last sign of life, or the waking if that is later. */
    long since(long lastSignNanos) {
        return Math.max(lastSignNanos, awakeSinceNanos);
    }
}
