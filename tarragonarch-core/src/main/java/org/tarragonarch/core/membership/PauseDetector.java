package org.tarragonarch.core.membership;

import org.tarragonarch.core.node.NodePolicy;

/**
 * Detects pauses of this node's own process.
 *
 * <p>Guards against a process that was suspended and resumed: the reports of its peers are still unread, so all peers
 * appear silent, and the node would use every slot of the domain. While a peer is alive the node is called at least
 * every third of {@code peerSilence}, so that a longer gap between two calls indicates a pause. After a pause the peers
 * get a whole {@code peerSilence} to report.
 */
final class PauseDetector {
    private static final int CALLS_PER_SILENCE = 3;

    private final long pauseNanos;
    private final long maxCallGapNanos;
    private long lastCallNanos = Long.MIN_VALUE;
    private long resumedNanos = Long.MIN_VALUE;

    PauseDetector(NodePolicy policy) {
        this.pauseNanos = policy.peerSilence().toNanos() / 2;
        this.maxCallGapNanos = policy.peerSilence().toNanos() / CALLS_PER_SILENCE;
    }

    /** Returns the time within which the next call must be scheduled while a peer is alive. */
    long maxCallGapNanos() {
        return maxCallGapNanos;
    }

    /** Records a call; returns whether the process paused before it. */
    boolean recordCall(long nowNanos) {
        boolean paused = lastCallNanos != Long.MIN_VALUE && nowNanos - lastCallNanos > pauseNanos;
        lastCallNanos = nowNanos;
        if (paused) {
            resumedNanos = nowNanos;
        }
        return paused;
    }

    /** Returns the start of a peer's silence: its last sign of life, or the end of the last pause if that is later. */
    long silentSinceNanos(long lastSignNanos) {
        return Math.max(lastSignNanos, resumedNanos);
    }
}
