package org.tarragonarch.core.runtime;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;

/**
 * Learns how long tasks of a kind run, since what callers declare is often far from the truth.
 *
 * <p>Not safe for use by several threads. Each call takes constant time.
 */
public final class RunTimeEstimator {
    private static final double NEWEST_SHARE = 0.05;

    private final Map<Kind, Double> meanNanos = new HashMap<>();

    private RunTimeEstimator() {}

    /** Returns an estimator that has learnt nothing. */
    public static RunTimeEstimator create() {
        return new RunTimeEstimator();
    }

    /** Takes in the run time of a task that succeeded. */
    public void observe(ServiceName service, KindName kind, long nanos) {
        meanNanos.merge(new Kind(service, kind), (double) nanos, (old, newest) -> old + NEWEST_SHARE * (newest - old));
    }

    /** Returns the expected run time of a task of a kind, in nanoseconds; the prior where nothing was learnt. */
    public long expectedNanos(ServiceName service, KindName kind, Duration prior) {
        return meanNanos
                .getOrDefault(new Kind(service, kind), (double) prior.toNanos())
                .longValue();
    }

    private record Kind(ServiceName service, KindName kind) {}
}
