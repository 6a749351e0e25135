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

    private double available = RESERVE;

    /** Records a task that succeeded. */
    void recordSuccess() {
        available = Math.min(RESERVE, available + EARNED_PER_SUCCESS);
    }

    /** Spends one retry; returns false, and spends nothing, if there is none left. */
    boolean trySpend() {
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}
