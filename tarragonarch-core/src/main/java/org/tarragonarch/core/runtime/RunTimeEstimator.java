package org.tarragonarch.core.runtime;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;

/**
 * Learns how long tasks of a kind run, since what callers declare is often far from the truth.
 *
 * <p>The estimate is a decaying mean. What is declared counts as one observation before the first, as a half after it,
 * as a third after the second and so on, so a declaration that is wrong by ten times is within a factor of two of the
 * truth after a few tasks. Not safe for use by several threads. Each call takes constant time.
 */
public final class RunTimeEstimator {
    /** After so many tasks what was learnt weighs enough to refuse work by it. */
    private static final int ENOUGH_TASKS = 10;

    /** The least part that a new run time has in the mean, so that the last fifty or so tasks decide. */
    private static final double LEAST_PART = 0.02;

    private final Map<Kind, Mean> means = new HashMap<>();

    private RunTimeEstimator() {}

    /** Returns an estimator that has learnt nothing. */
    public static RunTimeEstimator create() {
        return new RunTimeEstimator();
    }

    /** Records the run time of a task that succeeded. */
    public void observe(ServiceName service, KindName kind, long nanos) {
        means.computeIfAbsent(new Kind(service, kind), key -> new Mean()).add(nanos);
    }

    /** Returns the expected run time of a task of a kind, in nanoseconds; the prior where nothing was learnt. */
    public long expectedNanos(ServiceName service, KindName kind, Duration prior) {
        Mean mean = means.get(new Kind(service, kind));
        return mean == null ? prior.toNanos() : mean.with(prior.toNanos());
    }

    /** Returns whether enough tasks of a kind have ended for the expectation to rest on them. */
    public boolean hasEnoughTasks(ServiceName service, KindName kind) {
        Mean mean = means.get(new Kind(service, kind));
        return mean != null && mean.count >= ENOUGH_TASKS;
    }

    private record Kind(ServiceName service, KindName kind) {}

    private static final class Mean {
        private long count;
        private double nanos;

        void add(long observed) {
            count++;
            nanos += Math.max(LEAST_PART, 1.0 / count) * (observed - nanos);
        }

        long with(long prior) {
            double priorPart = 1.0 / (1 + count);
            return (long) ((priorPart * prior + count * nanos) / (priorPart + count));
        }
    }
}
