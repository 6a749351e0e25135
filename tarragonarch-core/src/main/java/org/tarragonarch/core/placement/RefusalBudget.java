package org.tarragonarch.core.placement;

import java.time.Duration;
import org.tarragonarch.model.service.Favour;

/**
 * Bounds the sends that endpoints refuse to a share of the tasks that they start.
 *
 * <p>Guards against a full service drawing ever more sends: a refused task that goes out again at once finds the next
 * endpoint full too, which shows as many refused sends for each start while nothing starts any sooner. Each start earns
 * a part of a refusal, each refusal uses one up, and with none left only sends that hardly can be refused are made. A
 * little is earned by time, so that a node that has nothing running is not shut out for good.
 */
public final class RefusalBudget {
    private static final double MOST = 20;
    private static final double LEAST = -5;
    private static final double EARNED_PER_SECOND_BY_START_SHARE = 8;

    private double left = MOST;
    private long countedNanos;

    /** Counts a task that an endpoint started. */
    public void started(Favour favour) {
        left = Math.min(MOST, left + favour.refusedSendsPerStart());
    }

    /** Counts a send that an endpoint refused because it was full. */
    public void refused() {
        left = Math.max(LEAST, left - 1);
    }

    /** Returns whether a send may be made that may well be refused. */
    public boolean allows(Favour favour, long nowNanos) {
        double seconds = Math.max(0, nowNanos - countedNanos)
                / (double) Duration.ofSeconds(1).toNanos();
        countedNanos = Math.max(countedNanos, nowNanos);
        left = Math.min(MOST, left + seconds * perSecond(favour));
        return left >= 1;
    }

    /** Returns when, by the passing of time alone, the next such send may be made. */
    public long nextNanos(Favour favour) {
        double seconds = Math.max(0, 1 - left) / perSecond(favour);
        return countedNanos + 1 + (long) (seconds * Duration.ofSeconds(1).toNanos());
    }

    private static double perSecond(Favour favour) {
        return EARNED_PER_SECOND_BY_START_SHARE * favour.refusedSendsPerStart();
    }
}
