package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.tarragonarch.core.share.ShareState;
import org.tarragonarch.model.share.SharePlan;

/** The meters of shares, in cores and by priority; shares of the same priority are summed over services. */
final class ShareMeters {
    private static final String TAG = "priority";
    private static final double MILLI_CORES_PER_CORE = 1_000;

    private final MeterRegistry registry;
    private final Supplier<ImmutableList<ShareState>> states;
    private final Supplier<ImmutableMap<Integer, Long>> usedElsewhere;

    ShareMeters(
            MeterRegistry registry,
            Supplier<ImmutableList<ShareState>> states,
            Supplier<ImmutableMap<Integer, Long>> usedElsewhere) {
        this.registry = registry;
        this.states = states;
        this.usedElsewhere = usedElsewhere;
    }

    /** Registers the meters of every priority of a plan. */
    void register(SharePlan plan) {
        for (int priority : plan.priorities()) {
            gauge("tarragonarch.share.allotted.cores", priority, ShareState::allottedMilliCores);
            gauge("tarragonarch.share.used.cores", priority, ShareState::usedMilliCores);
            gauge("tarragonarch.share.lent.cores", priority, ShareState::borrowedMilliCores);
            gauge("tarragonarch.share.waiting.cores", priority, ShareState::waitingMilliCores);
            Gauge.builder("tarragonarch.share.used.elsewhere.cores", () -> elsewhere(priority))
                    .tag(TAG, Integer.toString(priority))
                    .register(registry);
            refusedJobs(registry, priority);
        }
    }

    /** Returns the counter of refused jobs of a priority; registers it if needed. */
    static Counter refusedJobs(MeterRegistry registry, int priority) {
        return Counter.builder("tarragonarch.share.jobs.refused")
                .tag(TAG, Integer.toString(priority))
                .register(registry);
    }

    private void gauge(String name, int priority, ToLongFunction<ShareState> value) {
        Gauge.builder(name, () -> sum(priority, value))
                .tag(TAG, Integer.toString(priority))
                .register(registry);
    }

    private double sum(int priority, ToLongFunction<ShareState> value) {
        return states.get().stream()
                        .filter(state -> state.share().priority() == priority)
                        .mapToLong(value)
                        .sum()
                / MILLI_CORES_PER_CORE;
    }

    private double elsewhere(int priority) {
        Long used = usedElsewhere.get().get(priority);
        return used == null ? 0 : used / MILLI_CORES_PER_CORE;
    }
}
