package org.tarragonarch.core.placing;

import org.tarragonarch.core.speed.EndpointSpeed;

/**
 * Detects stalled runs on one endpoint, and stops them so that their tasks are restarted elsewhere.
 *
 * <p>Guards against an endpoint on which tasks stall although it answers all calls: each of its slots would block a job
 * until the client of the job disconnects.
 */
final class StallDetector {
    /** A run is stalled if its next percent takes this many times as long as its slowest percent so far. */
    private static final int PACE_MULTIPLE = 3;

    private final ReservedCapacity reserved;
    private final EndpointHealth health;
    private final EndpointSpeed speed;
    private final ProgressReports progress;

    StallDetector(ReservedCapacity reserved, EndpointHealth health, EndpointSpeed speed, ProgressReports progress) {
        this.reserved = reserved;
        this.health = health;
        this.speed = speed;
        this.progress = progress;
    }

    /**
     * Stops runs that take far longer than expected, once for each task: if the second run takes as long, the task is
     * really that long.
     *
     * <p>A run that has made progress is checked only by {@link #checkProgress}. Guards against stopping stragglers: a
     * task that runs seven times as long as the others exceeds the limit of four times the expected run time.
     */
    void restartOverdueRuns(long nowMillis) {
        for (Reservation reservation : reserved.snapshot()) {
            long limit = atSpeed(reservation.task().job().maxRunMillis());
            boolean showsProgress = progress.areReliable() && reservation.hasAdvanced();
            boolean isOverdue = reservation.shouldRun() && nowMillis - reservation.startedAtMillis() > limit;
            if (isOverdue && !showsProgress && reservation.task().restartOverdue()) {
                health.recordStall(nowMillis);
            }
        }
    }

    /**
     * Records the progress of a run, and stops the run if it has stalled.
     *
     * <p>This detects a stalled run earlier than its run time does, because the expected run time is only accurate to a
     * factor, but progress is accurate to a percent.
     *
     * @param percent the completed part of the work, in percent
     * @param asOfMillis when the list was requested, on the steady clock
     */
    void checkProgress(Reservation reservation, int percent, long asOfMillis) {
        if (reservation.recordProgress(percent, asOfMillis)) {
            progress.recordAdvance();
            return;
        }
        long limit = Math.max(
                atSpeed(reservation.task().job().stallTimeoutMillis()),
                PACE_MULTIPLE * reservation.slowestPercentMillis());
        boolean isStalled = reservation.millisWithoutProgress(asOfMillis) >= limit;
        if (isStalled
                && reservation.shouldRun()
                && progress.areReliable()
                && reservation.task().restartStalled()) {
            health.recordStall(asOfMillis);
        }
    }

    /** Returns a time limit extended for a slow endpoint; it is not shortened for a fast one. */
    private long atSpeed(long millis) {
        return Math.round(millis / Math.min(1, speed.classSpeed()));
    }
}
