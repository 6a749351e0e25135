package org.tarragonarch.core.placing;

import java.util.HashMap;
import java.util.Map;

/** How long tasks really run against what their callers declare, learned queue by queue. */
public final class RunTimes {
    /** What a job without an estimate is taken for: a task of the sub-second kind that this dispatcher serves. */
    private static final long DEFAULT_ESTIMATE_MILLIS = 200;

    private final Map<String, QueueRunTimes> queues = new HashMap<>();

    /** Creates a book that takes every estimate for true. */
    public RunTimes() {}

    long expectedMillis(String queue, long estimateMillis) {
        return times(queue).expectedMillis(estimateMillis > 0 ? estimateMillis : DEFAULT_ESTIMATE_MILLIS);
    }

    /** Returns the median of the largest ratio of true to expected run time among this many tasks. */
    double slowestOf(String queue, int tasks) {
        return times(queue).spread().slowestOf(tasks);
    }

    void record(String queue, long estimateMillis, long ranMillis) {
        if (estimateMillis > 0) {
            times(queue).record(estimateMillis, ranMillis);
        }
    }

    private QueueRunTimes times(String queue) {
        return queues.computeIfAbsent(queue, unused -> new QueueRunTimes());
    }
}
