package org.tarragonarch.core.membership;

import java.time.Duration;
import org.tarragonarch.core.node.NodePolicy;

/**
 * How often reports go out and how much they may hold, so that their cost stays within a fixed rate of bytes.
 *
 * <p>The rate is what keeps a domain of many nodes and endpoints within the budget of a node: with more of either,
 * loads are sent less often. A report without loads always goes, since silence would mean that the node is gone.
 */
final class ReportPacer {
    /** The bytes a second that reports may cost, of the 7 KB/s that all control may cost a node. */
    static final int BYTES_PER_SECOND = 6_000;

    /** What a report costs besides endpoints: 14 bytes of frame, 4 of length, 52 of headers, 15 of a first name. */
    static final int BYTES_PER_REPORT = 85;

    /** What an endpoint that is named costs at most, where names are alike. */
    static final int BYTES_PER_ENDPOINT = 6;

    private static final int REPORTS_PER_SILENCE = 3;

    private final long busyNanos;
    private final long idleNanos;
    private long credit = BYTES_PER_SECOND;
    private long creditNanos = Long.MIN_VALUE;

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
     * @param changed whether loads changed since the round before
     * @param roundBytes what the round that just went out cost
     */
    long nanosUntilNextRound(boolean changed, long roundBytes) {
        if (!changed) {
            return idleNanos;
        }
        long affordable = roundBytes * Duration.ofSeconds(1).toNanos() / BYTES_PER_SECOND;
        return Math.min(idleNanos, Math.max(busyNanos, affordable));
    }

    /** Records that time has passed. */
    void timePassed(long nowNanos) {
        if (creditNanos != Long.MIN_VALUE) {
            long passed = Math.min(nowNanos - creditNanos, Duration.ofSeconds(1).toNanos());
            credit = Math.min(
                    BYTES_PER_SECOND,
                    credit + passed * BYTES_PER_SECOND / Duration.ofSeconds(1).toNanos());
        }
        creditNanos = nowNanos;
    }

    /** Returns whether a report of this cost may go now. */
    boolean canAfford(long bytes) {
        return bytes <= credit;
    }

    /** Takes note of a report that goes. */
    void spend(long bytes) {
        credit = Math.max(credit - bytes, -BYTES_PER_SECOND);
    }

    /** Returns the estimated cost of a report that names this many endpoints. */
    static long estimatedBytes(int endpoints) {
        return BYTES_PER_REPORT + (long) BYTES_PER_ENDPOINT * endpoints;
    }
}
