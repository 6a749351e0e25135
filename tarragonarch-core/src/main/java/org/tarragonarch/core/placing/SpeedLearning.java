package org.tarragonarch.core.placing;

import org.tarragonarch.core.speed.EndpointSpeed;

/** Records the run times of an endpoint in its speed estimate; each run is recorded once. */
final class SpeedLearning {
    /** A run that takes more than this many times its expected run time at the endpoint's speed is recorded early. */
    private static final double EARLY_MULTIPLE = 1.5;

    /** The progress, in percent, below which the total run time cannot be extrapolated. */
    private static final int MIN_PERCENT = 5;

    private static final double HUNDRED_PERCENT = 100;

    private SpeedLearning() {}

    /**
     * Records a run in progress that takes too long, with the run time extrapolated from its progress.
     *
     * <p>An endpoint that becomes five times slower is then detected after one and a half run times instead of five.
     */
    static void recordProgress(EndpointSpeed speed, Reservation reservation, int percent, long nowMillis) {
        PlacedJob job = reservation.task().job();
        long ran = nowMillis - reservation.startedAtMillis();
        boolean isLong = ran * speed.value() > EARLY_MULTIPLE * job.expectedRunMillis();
        if (isLong && percent >= MIN_PERCENT && reservation.hasAdvanced() && isUsable(reservation)) {
            reservation.markSpeedRecorded();
            speed.record(job.expectedRunMillis(), ran * HUNDRED_PERCENT / percent);
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
     * Returns whether the run may be recorded: its start time and a declared run time are known, and it was not
     * recorded yet.
     */
    private static boolean isUsable(Reservation reservation) {
        return !reservation.adopted()
                && !reservation.isSpeedRecorded()
                && reservation.task().job().step().estimateMillis() > 0;
    }
}
