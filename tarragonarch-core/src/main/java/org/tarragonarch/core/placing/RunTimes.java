package org.tarragonarch.core.placing;

import java.util.HashMap;
import java.util.Map;

/** Learns for each queue how the actual run times of tasks relate to the run times that callers declare. */
public final class RunTimes {
    /** The estimate for a job that declares none: the run time of a typical sub-second task. */
    private static final long DEFAULT_ESTIMATE_MILLIS = 200;

    private final Map<String, QueueRunTimes> queues = new HashMap<>();

    /** Creates an instance that expects every task to run as long as declared. */
    public RunTimes() {}

    /**
     * Returns the expected run time of a task at speed 1, in milliseconds.
     *
     * @param estimateMillis the declared run time, in milliseconds; 0 if there is none
     */
    long expectedMillis(String queue, long estimateMillis) {
        return times(queue).expectedMillis(estimateMillis > 0 ? estimateMillis : DEFAULT_ESTIMATE_MILLIS);
    }

    /** Returns the median of the largest ratio of actual to expected run time among the given number of tasks. */
    double medianSlowestRatio(String queue, int tasks) {
        return times(queue).spread().medianSlowestRatio(tasks);
    }

    /** Records the run time of a run at speed 1; ignored if the task declares no run time. */
    void record(String queue, long estimateMillis, long ranMillis) {
        if (estimateMillis > 0) {
            times(queue).record(estimateMillis, ranMillis);
        }
    }

    private QueueRunTimes times(String queue) {
        return queues.computeIfAbsent(queue, unused -> new QueueRunTimes());
    }
}
