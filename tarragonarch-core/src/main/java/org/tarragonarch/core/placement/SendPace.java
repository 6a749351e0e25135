package org.tarragonarch.core.placement;

import java.time.Duration;
import org.tarragonarch.model.service.ServiceObjective;

/**
 * Paces the sends to one failure domain that are likely to be refused.
 *
 * <p>Guards against a growing number of sends when a service is full: a refused task that is sent again at once finds
 * the next endpoint full too, so that there are several refused sends for each start and no task starts sooner. A
 * refusal doubles the gap between such sends and a start shortens it, so that the two balance at the fraction of
 * refusals that the service's objective tolerates. The minimum gap lets the first refusal of a burst arrive before the
 * whole burst is sent.
 */
final class SendPace {
    private static final double MIN_GAP_NANOS = 500_000;
    private static final double MAX_GAP_NANOS = Duration.ofSeconds(2).toNanos();
    private static final double GROWTH = 2;

    private double gapNanos = MIN_GAP_NANOS;
    private long nextNanos;

    /** Returns the time of the next permitted send. */
    long nextNanos() {
        return nextNanos;
    }

    void sent(long nowNanos) {
        nextNanos = nowNanos + (long) gapNanos;
    }

    void started(ServiceObjective objective) {
        double tolerated = objective.maxRefusedFractionOfRiskySends();
        gapNanos = Math.max(MIN_GAP_NANOS, gapNanos * Math.pow(GROWTH, -tolerated / (1 - tolerated)));
    }

    void refused(long nowNanos) {
        gapNanos = Math.min(MAX_GAP_NANOS, gapNanos * GROWTH);
        sent(nowNanos);
    }
}
