package org.tarragonarch.core.placing;

import java.util.HashMap;
import java.util.Map;

/**
 * How long tasks really run against what their callers declare, learned queue by queue.
 *
 * <p>Callers' guesses are off by some 40%; a queue's mean ratio corrects what they share, not the scatter of one job.
 */
public final class RunTimes {
    /** The weight of the newest run: the mean follows a change within some twenty runs. */
    private static final double WEIGHT = 0.05;

    /** What a job without an estimate is taken for: a task of the sub-second kind that this dispatcher serves. */
    private static final long DEFAULT_ESTIMATE_MILLIS = 200;

    /** One run may be off by a stall; beyond this it teaches nothing about the estimates. */
    private static final double MOST_RATIO = 4;

    private final Map<String, Double> ratioByQueue = new HashMap<>();

    /** Creates a book that takes every estimate for true. */
    public RunTimes() {}

    long expectedMillis(String queue, long estimateMillis) {
        long estimate = estimateMillis > 0 ? estimateMillis : DEFAULT_ESTIMATE_MILLIS;
        return Math.max(1, Math.round(estimate * ratioByQueue.getOrDefault(queue, 1.0)));
    }

    void ran(String queue, long estimateMillis, long ranMillis) {
        if (estimateMillis <= 0) {
            return;
        }
        double ratio = Math.min(MOST_RATIO, (double) ranMillis / estimateMillis);
        ratioByQueue.merge(queue, ratio, (known, now) -> known + WEIGHT * (now - known));
    }
}
