package org.tarragonarch.core.speed;

/**
 * The estimated speed of one incarnation of an endpoint relative to the mean of its pool; 1 until runs are recorded.
 *
 * <p>The estimate is an exponentially weighted mean of the logarithm of expected over true run time. The influence of a
 * single run is bounded, so that a straggler or a wrong run time estimate changes it little. Several large residuals of
 * one sign in a row are taken for a sudden change, which is followed with a larger gain.
 *
 * <p>Decisions compare classes of speed, 28% wide, and not the estimate itself, so that noise in the estimates changes
 * no decision where the speeds of all endpoints are similar. An endpoint leaves its class only if its estimate is
 * clearly outside (hysteresis).
 */
public final class EndpointSpeed {
    private static final double MIN_SPEED = 0.2;
    private static final double MAX_SPEED = 3;

    /** The weight of the prior speed of 1, in runs. */
    private static final int PRIOR_RUNS = 4;

    /** The gain after many runs: where run times are off by 40%, the estimate is off by 7%. */
    private static final double MIN_GAIN = 0.06;

    /** The bound of a residual in the logarithm, a factor of 2.7. */
    private static final double RESIDUAL_BOUND = 1;

    /**
     * A residual that counts towards a change; where run times are off by 40%, one run in ten exceeds it to each side.
     */
    private static final double LARGE_RESIDUAL = 0.5;

    /** Large residuals of one sign in a row that are taken for a change; by chance, two runs in a thousand are. */
    private static final int CHANGE_STREAK = 3;

    private static final double FIRST_CHANGE_GAIN = 0.25;
    private static final double CHANGE_GAIN = 0.4;

    /** The width of a class in the logarithm; the class around 1 extends from 0.87 to 1.15. */
    private static final double CLASS_WIDTH = 0.28;

    /** The distance from the middle of its class at which an estimate leaves it, in the logarithm. */
    private static final double LEAVING_DISTANCE = 0.2;

    private double logarithm;
    private int runs;
    private int streak;
    private int speedClass;
    private double classSpeed = 1;
    private double reportedSpeed = 1;

    /** Creates the estimate for an incarnation that has not run anything. */
    public EndpointSpeed() {}

    /**
     * Records a run.
     *
     * @param expectedMillis its expected run time at speed 1, in milliseconds
     * @param ranMillis its true run time, or the one extrapolated from its progress, in milliseconds
     */
    public void record(double expectedMillis, double ranMillis) {
        double observed = Math.log(Math.max(1, expectedMillis) / Math.max(1, ranMillis));
        double residual = observed - logarithm;
        double bounded = Math.max(-RESIDUAL_BOUND, Math.min(RESIDUAL_BOUND, residual));
        countStreak(residual);
        runs++;
        moveTo(logarithm + gain() * bounded);
    }

    private void countStreak(double residual) {
        if (Math.abs(residual) < LARGE_RESIDUAL) {
            streak = 0;
        } else if (residual > 0) {
            streak = Math.max(0, streak) + 1;
        } else {
            streak = Math.min(0, streak) - 1;
        }
    }

    private double gain() {
        double ordinary = Math.max(MIN_GAIN, 1.0 / (runs + PRIOR_RUNS));
        int length = Math.abs(streak);
        if (length < CHANGE_STREAK) {
            return ordinary;
        }
        return Math.max(ordinary, length == CHANGE_STREAK ? FIRST_CHANGE_GAIN : CHANGE_GAIN);
    }

    /** Adds to the logarithm of the estimate if any run was recorded. */
    void shift(double by) {
        if (isLearned()) {
            moveTo(logarithm + by);
        }
    }

    private void moveTo(double target) {
        logarithm = Math.max(Math.log(MIN_SPEED), Math.min(Math.log(MAX_SPEED), target));
        if (Math.abs(logarithm - speedClass * CLASS_WIDTH) > LEAVING_DISTANCE) {
            speedClass = (int) Math.round(logarithm / CLASS_WIDTH);
            classSpeed = Math.exp(speedClass * CLASS_WIDTH);
        }
    }

    /** Returns whether any run was recorded. */
    public boolean isLearned() {
        return runs > 0;
    }

    /** Returns the estimate, as a multiple of the pool's mean speed. */
    public double value() {
        return Math.exp(logarithm);
    }

    double logarithm() {
        return logarithm;
    }

    /** Returns the speed in the middle of the endpoint's class, by which decisions are made. */
    public double classSpeed() {
        return classSpeed;
    }

    /** Returns the class speed at the last report; 1 before the first. */
    public double reportedSpeed() {
        return reportedSpeed;
    }

    /** Returns whether the class speed has changed since the last report. */
    public boolean isReportDue() {
        return classSpeed != reportedSpeed;
    }

    /** Records that the present class speed was reported. */
    public void markReported() {
        reportedSpeed = classSpeed;
    }
}
