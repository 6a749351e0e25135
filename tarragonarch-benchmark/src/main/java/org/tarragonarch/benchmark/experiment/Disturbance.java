package org.tarragonarch.benchmark.experiment;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * Something that happens once in a run.
 *
 * @param kind what it is
 * @param atMillis when it begins
 * @param forMillis how long it lasts
 * @param factor how strong it is, where its kind says so
 * @param jobs the kind of job that a burst is of; left out, it is of all
 * @param domains the numbers of the failure domains that it is about, where its kind says so; may be left out
 */
public record Disturbance(
        DisturbanceKind kind, long atMillis, long forMillis, double factor, String jobs, List<Integer> domains) {
    /** Takes domains that are left out for none. */
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
