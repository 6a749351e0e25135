package org.tarragonarch.core.submission;

/**
 * Bounds retries to a share of the successes, so that retries cannot amplify an outage.
 *
 * <p>Each success earns a tenth of a retry, up to a small reserve that also stands at the start. When endpoints fail
 * one after the other, successes dry up, the reserve is spent, and load falls back to one send per task.
 */
final class RetryBudget {
    private static final double EARNED_PER_SUCCESS = 0.1;
    private static final double RESERVE = 10;

    private double retries = RESERVE;

    /** Records a task that succeeded. */
    void succeeded() {
        retries = Math.min(RESERVE, retries + EARNED_PER_SUCCESS);
    }

    /** Spends one retry; returns false, and spends nothing, if there is none left. */
    boolean spend() {
        if (retries < 1) {
            return false;
        }
        retries--;
        return true;
    }
}
