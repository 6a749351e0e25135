package org.tarragonarch.core.placement;

import java.time.Duration;
import org.tarragonarch.model.service.ServiceObjective;

/**
 * Spaces out the sends to one failure domain that may well be refused.
 *
 * <p>Guards against a full service drawing ever more sends: a refused task that goes out again at once finds the next
 * endpoint full too, which shows as several refused sends for each start while nothing starts any sooner. A refusal
 * doubles the gap between such sends and a start shortens it, by so much that the two balance at the part of refusals
 * that the favour bears. The least gap lets a refusal come back before a burst has gone out whole.
 */
final class SendPace {
    private static final double LEAST_GAP_NANOS = 500_000;
    private static final double LONGEST_GAP_NANOS = Duration.ofSeconds(2).toNanos();
    private static final double GROWTH = 2;

    private double gapNanos = LEAST_GAP_NANOS;
    private long nextNanos;

    /** Returns when the next send may be made. */
    long nextNanos() {
        return nextNanos;
    }

    void sent(long nowNanos) {
        nextNanos = nowNanos + (long) gapNanos;
    }

    void started(ServiceObjective favour) {
        double borne = favour.maxRefusedFractionOfRiskySends();
        gapNanos = Math.max(LEAST_GAP_NANOS, gapNanos * Math.pow(GROWTH, -borne / (1 - borne)));
    }

    void refused(long nowNanos) {
        gapNanos = Math.min(LONGEST_GAP_NANOS, gapNanos * GROWTH);
        sent(nowNanos);
    }
}
