package org.tarragonarch.core.endpoint;

/** Whether another failure domain can be reached, and when work may next spill into it. */
final class DomainReach {
    private final Backoff pause =
            new Backoff(HealthPolicy.FIRST_SPILL_PAUSE_NANOS, 2, HealthPolicy.LONGEST_SPILL_PAUSE_NANOS);
    private int unreachableInTurn;
    private long pausedUntilNanos;

    /**
     * Returns whether a task may be sent there now.
     *
     * <p>Guards against a cut between failure domains: it shows as endpoints that no connection reaches, one after
     * another, and every task tried on the next one would lose time to find the same.
     */
    boolean open(long nowNanos) {
        return !isCut() && nowNanos >= pausedUntilNanos;
    }

    boolean isCut() {
        return unreachableInTurn >= HealthPolicy.UNREACHABLE_WHEN_CUT;
    }

    /** Takes in that an endpoint there answered; {@code ran} is whether it took the task. */
    void answered(boolean ran) {
        unreachableInTurn = 0;
        if (ran) {
            pause.reset();
        }
    }

    void unreachable() {
        unreachableInTurn++;
    }

    /** Takes in a refusal: the domain is full too, as far as can be seen; returns until when nothing is sent there. */
    long refused(long nowNanos) {
        if (nowNanos >= pausedUntilNanos) {
            pausedUntilNanos = nowNanos + pause.next();
        }
        return pausedUntilNanos;
    }
}
