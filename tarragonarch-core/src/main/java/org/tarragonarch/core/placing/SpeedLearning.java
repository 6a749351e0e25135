package org.tarragonarch.core.placing;

import org.tarragonarch.core.speed.EndpointSpeed;

/** Feeds the run times of an endpoint into its speed estimate; each run counts once. */
final class SpeedLearning {
    /** A run that takes this many times the run time expected at its endpoint's speed is recorded before it ends. */
    private static final double EARLY_MULTIPLE = 1.5;

    /** The progress, in percent, below which the whole run time cannot be extrapolated. */
    private static final int MIN_PERCENT = 5;

    private static final double WHOLE = 100;

    private SpeedLearning() {}

    /**
     * Records a run under way that takes long, with the run time extrapolated from its progress.
     *
     * <p>An endpoint that becomes five times slower is then detected after one and a half run times instead of five.
     */
    static void recordProgress(EndpointSpeed speed, Reservation reservation, int percent, long nowMillis) {
        PlacedJob job = reservation.task().job();
        long ran = nowMillis - reservation.startedAtMillis();
        boolean isLong = ran * speed.value() > EARLY_MULTIPLE * job.expectedRunMillis();
        if (isLong && percent >= MIN_PERCENT && reservation.hasAdvanced() && isUsable(reservation)) {
            reservation.markSpeedRecorded();
            speed.record(job.expectedRunMillis(), ran * WHOLE / percent);
        }
    }

    /** Records a run that has succeeded. */
    static void recordEnd(EndpointSpeed speed, Reservation reservation, long ranMillis) {
        if (isUsable(reservation)) {
            reservation.markSpeedRecorded();
            speed.record(reservation.task().job().expectedRunMillis(), ranMillis);
        }
    }

    /**
     * Returns whether the run may be recorded: its start and a declared run time are known, and it was not recorded
     * yet.
     */
    private static boolean isUsable(Reservation reservation) {
        return !reservation.adopted()
                && !reservation.isSpeedRecorded()
                && reservation.task().job().step().estimateMillis() > 0;
    }
}
