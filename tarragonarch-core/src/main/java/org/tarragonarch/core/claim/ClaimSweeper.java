package org.tarragonarch.core.claim;

import java.time.Duration;
import java.util.Random;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.SweepClaims;

/**
 * Has old claims deleted now and then, so that the table does not grow indefinitely.
 *
 * <p>A key is protected for {@link #RETENTION}. That is far longer than any deadline a kind may have, so a holder that
 * was paused finds its submission's time over long before another node could claim the key again. Every node sweeps, at
 * times of its own, since none is set aside for it and any may be gone.
 */
final class ClaimSweeper {
    /** How long a claim stands. */
    static final Duration RETENTION = Duration.ofHours(24);

    private static final long INTERVAL_NANOS = Duration.ofHours(4).toNanos();

    private final Random random;
    private long nextNanos = Long.MAX_VALUE;

    ClaimSweeper(Random random) {
        this.random = random;
    }

    void timePassed(long nowNanos, ActionSink sink) {
        if (nextNanos == Long.MAX_VALUE) {
            nextNanos = nowNanos + afterAWhile();
        } else if (nowNanos >= nextNanos) {
            nextNanos = nowNanos + INTERVAL_NANOS;
            sink.emit(new SweepClaims(RETENTION));
        }
    }

    long nextWakeNanos() {
        return nextNanos;
    }

    // Nodes that are started together must not sweep together.
    private long afterAWhile() {
        return (long) (random.nextDouble() * INTERVAL_NANOS);
    }
}
