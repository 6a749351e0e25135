package org.tarragonarch.core.runtime;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;

/**
 * Estimates the run times of tasks by kind from observations, since the times declared by callers are often wrong.
 *
 * <p>The estimate is a decaying mean. The declared time counts as one observation before the first task, as half of one
 * after it, as a third after the second and so on. If it is wrong by a factor of ten, the estimate is within a factor
 * of two of the true time after a few tasks.
 *
 * <p>Not safe for use by several threads. Each call takes constant time.
 */
public final class RunTimeEstimator {
    /** The number of observed tasks from which on the estimate may be used to refuse work. */
    private static final int MIN_TASKS = 10;

    /** The minimum weight of a new run time, so that about the last fifty tasks determine the mean. */
    private static final double MIN_WEIGHT = 0.02;

    private final Map<Kind, Mean> means = new HashMap<>();

    private RunTimeEstimator() {}

    /** Returns an estimator without observations. */
    public static RunTimeEstimator create() {
        return new RunTimeEstimator();
    }

    /** Records the run time of a task that succeeded. */
    public void observe(ServiceName service, KindName kind, long nanos) {
        means.computeIfAbsent(new Kind(service, kind), key -> new Mean()).add(nanos);
    }

    /** Returns the expected run time of a task of a kind, in nanoseconds; the prior if no task was observed. */
    public long expectedNanos(ServiceName service, KindName kind, Duration prior) {
        Mean mean = means.get(new Kind(service, kind));
        return mean == null ? prior.toNanos() : mean.combinedWith(prior.toNanos());
    }

    /** Returns whether enough tasks of a kind were observed to refuse work by the estimate. */
    public boolean hasEnoughTasks(ServiceName service, KindName kind) {
        Mean mean = means.get(new Kind(service, kind));
        return mean != null && mean.count >= MIN_TASKS;
    }

    private record Kind(ServiceName service, KindName kind) {}

    private static final class Mean {
        private long count;
        private double nanos;

        void add(long observed) {
            count++;
            nanos += Math.max(MIN_WEIGHT, 1.0 / count) * (observed - nanos);
        }

        long combinedWith(long prior) {
            double priorWeight = 1.0 / (1 + count);
            return (long) ((priorWeight * prior + count * nanos) / (priorWeight + count));
        }
    }
}
