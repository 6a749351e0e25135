package org.tarragonarch.benchmark.experiment;

/**
 * Something that happens once in a run.
 *
 * @param kind what it is
 * @param atMillis when it begins
 * @param forMillis how long it lasts
 * @param factor how strong it is, where its kind says so
 * @param jobs the kind of job that a burst is of; left out, it is of all
 */
public record Disturbance(DisturbanceKind kind, long atMillis, long forMillis, double factor, String jobs) {
    boolean isOf(String jobKind) {
        return jobs == null || jobs.equals(jobKind);
    }

    boolean during(long millis) {
        return millis >= atMillis && millis < atMillis + forMillis;
    }
}
