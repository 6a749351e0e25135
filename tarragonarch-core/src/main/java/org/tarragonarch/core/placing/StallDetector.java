package org.tarragonarch.core.placing;

import org.tarragonarch.core.speed.EndpointSpeed;

/**
 * Finds the runs that stall on one endpoint, and has their tasks started elsewhere.
 *
 * <p>Guards against an endpoint on which tasks stall while it answers all calls: each of its places would keep a job
 * until its client leaves.
 */
final class StallDetector {
    /** A run that takes this many times its slowest percent so far for the next one is taken to stall. */
    private static final int PACE_MULTIPLE = 3;

    private final ReservedRoom room;
    private final EndpointHealth health;
    private final EndpointSpeed speed;
    private final ProgressReports progress;

    StallDetector(ReservedRoom room, EndpointHealth health, EndpointSpeed speed, ProgressReports progress) {
        this.room = room;
        this.health = health;
        this.speed = speed;
        this.progress = progress;
    }

    /**
     * Stops runs that take far longer than expected, once for each task: if the second run is as long, so is the work.
     *
     * <p>A run that has made progress is checked by {@link #followProgress} alone. Guards against stopping stragglers:
     * a task that runs seven times as long as the others exceeds the limit of four times.
     */
    void restartOverdueRuns(long nowMillis) {
        for (Reservation reservation : room.all()) {
            long limit = atSpeed(reservation.task().job().maxRunMillis());
            boolean showsProgress = progress.areMeaningful() && reservation.advanced();
            boolean isOverdue = reservation.wanted() && nowMillis - reservation.startedAtMillis() > limit;
            if (isOverdue && !showsProgress && reservation.task().restartOverdue()) {
                health.recordStall(nowMillis);
            }
        }
    }

    /**
     * Records how far a run has got, and stops it if it shows no progress.
     *
     * <p>That finds a stalled run in time for most callers, since the run time of a task is known to a factor only and
     * its progress to a percent.
     *
     * @param asOfMillis when the list was asked for
     */
    void followProgress(Reservation reservation, int percent, long asOfMillis) {
        if (reservation.advancedTo(percent, asOfMillis)) {
            progress.advanced();
            return;
        }
        long limit = Math.max(
                atSpeed(reservation.task().job().stallTimeoutMillis()),
                PACE_MULTIPLE * reservation.slowestPercentMillis());
        boolean isStalled = reservation.withoutProgressMillis(asOfMillis) >= limit;
        if (isStalled
                && reservation.wanted()
                && progress.areMeaningful()
                && reservation.task().restartStalled()) {
            health.recordStall(asOfMillis);
        }
    }

    /** Returns a time limit extended for a slow endpoint; a fast one gets no shorter limit. */
    private long atSpeed(long millis) {
        return Math.round(millis / Math.min(1, speed.classSpeed()));
    }
}
