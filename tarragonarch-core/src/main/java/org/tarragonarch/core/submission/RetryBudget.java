package org.tarragonarch.core.submission;

/**
 * Limits retries to a fraction of the successes, so that retries cannot amplify an outage.
 *
 * <p>The budget starts with a small reserve; each success adds a tenth of a retry, up to the size of the reserve. When
 * most tasks fail, the reserve is soon spent and each task is sent only once.
 */
final class RetryBudget {
    private static final double EARNED_PER_SUCCESS = 0.1;
    private static final double RESERVE = 10;

    private double available = RESERVE;

    /** Records a task that succeeded. */
    void recordSuccess() {
        available = Math.min(RESERVE, available + EARNED_PER_SUCCESS);
    }

    /** Spends one retry; returns false and spends nothing if less than one is available. */
    boolean trySpend() {
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}
