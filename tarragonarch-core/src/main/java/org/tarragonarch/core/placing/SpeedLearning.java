package org.tarragonarch.core.placing;

import org.tarragonarch.core.speed.EndpointSpeed;

/** Learns from runs how fast their endpoint is; each run counts once. */
final class SpeedLearning {
    /** A run this many times as long under way as its endpoint's speed lets expect counts before it ends. */
    private static final double EARLY_MULTIPLE = 1.5;

    /** Below this many percent the whole run time cannot be told from the progress. */
    private static final int LEAST_PERCENT = 5;

    private static final double WHOLE = 100;

    private SpeedLearning() {}

    /**
     * Learns from a run that takes long, by its progress.
     *
     * <p>An endpoint that has turned five times slower is noticed after one and a half run times in place of five.
     */
    static void progressed(EndpointSpeed speed, Reservation reservation, int percent, long nowMillis) {
        PlacedJob job = reservation.task().job();
        long ran = nowMillis - reservation.startedAtMillis();
        boolean isLong = ran * speed.value() > EARLY_MULTIPLE * job.expectedRunMillis();
        if (isLong && percent >= LEAST_PERCENT && reservation.advanced() && teaches(reservation)) {
            reservation.speedLearned();
            speed.ran(job.expectedRunMillis(), ran * WHOLE / percent);
        }
    }

    /** Learns from a run that has done its work. */
    static void ended(EndpointSpeed speed, Reservation reservation, long ranMillis) {
        if (teaches(reservation)) {
            reservation.speedLearned();
            speed.ran(reservation.task().job().expectedRunMillis(), ranMillis);
        }
    }

    /** A run of unknown start, or without a declared run time to compare with, says nothing. */
    private static boolean teaches(Reservation reservation) {
        return !reservation.adopted()
                && !reservation.isSpeedLearned()
                && reservation.task().job().step().estimateMillis() > 0;
    }
}
