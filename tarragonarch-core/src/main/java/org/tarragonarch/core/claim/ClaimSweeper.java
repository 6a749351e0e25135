package org.tarragonarch.core.claim;

import java.time.Duration;
import java.util.Random;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.SweepClaims;

/**
 * Periodically requests the deletion of old claims, so that the table does not grow without limit.
 *
 * <p>A claim is kept for {@link #RETENTION}, which is far longer than any deadline of a kind. A node that was paused
 * therefore finds the deadline of its submission passed long before another node can claim the key again. Every node
 * sweeps at its own times, since no node is designated for it and any node may fail.
 */
final class ClaimSweeper {
    /** How long a claim is kept. */
    static final Duration RETENTION = Duration.ofHours(24);

    private static final long INTERVAL_NANOS = Duration.ofHours(4).toNanos();

    private final Random random;
    private long nextNanos = Long.MAX_VALUE;

    ClaimSweeper(Random random) {
        this.random = random;
    }

    void timePassed(long nowNanos, ActionSink sink) {
        if (nextNanos == Long.MAX_VALUE) {
            nextNanos = nowNanos + randomDelayNanos();
        } else if (nowNanos >= nextNanos) {
            nextNanos = nowNanos + INTERVAL_NANOS;
            sink.emit(new SweepClaims(RETENTION));
        }
    }

    long nextWakeNanos() {
        return nextNanos;
    }

    // Keeps nodes that start together from sweeping at the same time.
    private long randomDelayNanos() {
        return (long) (random.nextDouble() * INTERVAL_NANOS);
    }
}
