package org.tarragonarch.benchmark.experiment;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * A change of the load or a fault in a run.
 *
 * @param kind the kind
 * @param atMillis the start time
 * @param forMillis the duration
 * @param factor the strength, as documented by the kind
 * @param jobs the kind of job that a burst applies to; null for all kinds
 * @param domains the numbers of the failure domains that it applies to, as documented by the kind; null for none
 */
public record Disturbance(
        DisturbanceKind kind, long atMillis, long forMillis, double factor, String jobs, List<Integer> domains) {
    /** Replaces null {@code domains} by an empty list. */
    public Disturbance {
        domains = domains == null ? ImmutableList.of() : ImmutableList.copyOf(domains);
    }

    boolean appliesTo(String jobKind) {
        return jobs == null || jobs.equals(jobKind);
    }

    boolean isActiveAt(long millis) {
        return millis >= atMillis && millis < atMillis + forMillis;
    }
}
