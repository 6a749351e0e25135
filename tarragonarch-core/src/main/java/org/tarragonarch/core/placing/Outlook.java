package org.tarragonarch.core.placing;

/**
 * What a holder expects of a job as it comes in, and from which inputs.
 *
 * @param waitMillis how long its tasks would wait for room
 * @param expectedRunMillis how long one of its tasks should run
 * @param inTimeWithinMillis how long from now its answer still counts in full, or until its client leaves if that is
 *     sooner
 * @param places how many tasks of its size the usable endpoints hold
 * @param freePlaces how many of those are free
 * @param waitingJobs how many jobs wait before it
 */
public record Outlook(
        long waitMillis,
        long expectedRunMillis,
        long inTimeWithinMillis,
        long places,
        long freePlaces,
        int waitingJobs) {
    /** Returns whether the job should be answered in time. */
    boolean inTime() {
        return places > 0 && waitMillis + expectedRunMillis <= inTimeWithinMillis;
    }
}
