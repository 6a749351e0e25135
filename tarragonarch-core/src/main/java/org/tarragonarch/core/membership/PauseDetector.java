package org.tarragonarch.core.membership;

import org.tarragonarch.core.node.NodePolicy;

/**
 * Detects whether this node itself slept.
 *
 * <p>Guards against a process that was stopped and woken: its peers' reports wait unread, so by its clock all of them
 * are silent, and it would take every slot of the domain for its own. While a peer is alive the node is called at least
 * every third of {@code peerSilence}, so a longer gap between two calls is its own doing; the peers get a whole
 * {@code peerSilence} from the waking on.
 */
final class PauseDetector {
    private static final int CALLS_PER_SILENCE = 3;

    private final long boundNanos;
    private final long maxCallGapNanos;
    private long lastCallNanos = Long.MIN_VALUE;
    private long awakeSinceNanos = Long.MIN_VALUE;

    PauseDetector(NodePolicy policy) {
        this.boundNanos = policy.peerSilence().toNanos() / 2;
        this.maxCallGapNanos = policy.peerSilence().toNanos() / CALLS_PER_SILENCE;
    }

    /** Returns the longest time between two calls that is no pause, which must be asked for while a peer is alive. */
    long maxCallGapNanos() {
        return maxCallGapNanos;
    }

    /** Records a call; returns whether the node slept before it. */
    boolean recordCall(long nowNanos) {
        boolean slept = lastCallNanos != Long.MIN_VALUE && nowNanos - lastCallNanos > boundNanos;
        lastCallNanos = nowNanos;
        if (slept) {
            awakeSinceNanos = nowNanos;
        }
        return slept;
    }

    /** Returns when a peer last could last have reported: its last sign of life, or the waking if that is later. */
    long silentSinceNanos(long lastSignNanos) {
        return Math.max(lastSignNanos, awakeSinceNanos);
    }
}
