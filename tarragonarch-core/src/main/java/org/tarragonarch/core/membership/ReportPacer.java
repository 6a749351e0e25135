package org.tarragonarch.core.membership;

import java.time.Duration;
import org.tarragonarch.core.node.NodePolicy;

/**
 * Limits the frequency and size of reports so that they stay within a fixed number of bytes per second.
 *
 * <p>The more nodes and endpoints a domain has, the less often loads are sent. A report without loads is always sent,
 * since a silent node counts as lost.
 */
final class ReportPacer {
    /** The limit for reports in bytes per second, of the 7 KB/s that a node may use for all control messages. */
    static final int BYTES_PER_SECOND = 6_000;

    /** The bytes of a report without endpoints: 14 for the frame, 4 length, 52 headers, 15 for the first name. */
    static final int BYTES_PER_REPORT = 85;

    /** The most bytes that an endpoint adds to a report if the names of endpoints share a prefix. */
    static final int BYTES_PER_ENDPOINT = 6;

    private static final int REPORTS_PER_SILENCE = 3;

    private final long busyNanos;
    private final long idleNanos;
    private long budgetBytes = BYTES_PER_SECOND;
    private long budgetUpdatedNanos = Long.MIN_VALUE;

    ReportPacer(NodePolicy policy) {
        this.idleNanos = policy.peerSilence().toNanos() / REPORTS_PER_SILENCE;
        this.busyNanos = Math.min(policy.reportInterval().toNanos(), idleNanos);
    }

    /** Returns the longest time between two reports to one peer. */
    long idleNanos() {
        return idleNanos;
    }

    /**
     * Returns the time until the next round of reports.
     *
     * @param changed whether loads changed since the previous round
     * @param roundBytes the estimated bytes of the round just sent
     */
    long nanosUntilNextRound(boolean changed, long roundBytes) {
        if (!changed) {
            return idleNanos;
        }
        long nanosForRound = roundBytes * Duration.ofSeconds(1).toNanos() / BYTES_PER_SECOND;
        return Math.min(idleNanos, Math.max(busyNanos, nanosForRound));
    }

    /** Replenishes the budget for the time since the last call. */
    void timePassed(long nowNanos) {
        if (budgetUpdatedNanos != Long.MIN_VALUE) {
            long passed = Math.min(
                    nowNanos - budgetUpdatedNanos, Duration.ofSeconds(1).toNanos());
            budgetBytes = Math.min(
                    BYTES_PER_SECOND,
                    budgetBytes
                            + passed * BYTES_PER_SECOND / Duration.ofSeconds(1).toNanos());
        }
        budgetUpdatedNanos = nowNanos;
    }

    /** Returns whether a report of this size may be sent now. */
    boolean canAfford(long bytes) {
        return bytes <= budgetBytes;
    }

    /** Deducts a sent report from the budget. */
    void spend(long bytes) {
        budgetBytes = Math.max(budgetBytes - bytes, -BYTES_PER_SECOND);
    }

    /** Returns the estimated size of a report with the loads of this many endpoints. */
    static long estimatedBytes(int endpoints) {
        return BYTES_PER_REPORT + (long) BYTES_PER_ENDPOINT * endpoints;
    }
}
