package org.tarragonarch.core.speed;

/**
 * The speed of one incarnation of an endpoint relative to its pool, 1 until runs say otherwise.
 *
 * <p>The estimate is a running mean of the logarithm of expected over true run time. No run moves it by more than a
 * bounded step, so a straggler or a wrong estimate says little; several far off to the same side in a row are taken for
 * a sudden change and are followed quickly.
 *
 * <p>Decisions compare classes of speed, 28% wide, and not the estimate itself. Where all endpoints are about alike,
 * they are of the class around 1, and noise in the estimates changes no decision. An endpoint leaves its class only if
 * its estimate is clearly outside.
 */
public final class EndpointSpeed {
    private static final double SLOWEST = 0.2;
    private static final double FASTEST = 3;

    /** What the prior counts for, in runs. */
    private static final int PRIOR_RUNS = 4;

    /** The weight of the newest run; with run times off by 40% the estimate is then off by 7%. */
    private static final double LEAST_GAIN = 0.06;

    /** The largest residual that counts, a factor of 2.7. */
    private static final double RESIDUAL_BOUND = 1;

    /** Where run times are off by 40%, one run in ten is over this to each side by chance. */
    private static final double LARGE_RESIDUAL = 0.5;

    /** So many large residuals of one sign in a row are taken for a change; by chance two runs in a thousand. */
    private static final int CHANGE_STREAK = 3;

    private static final double FIRST_CHANGE_GAIN = 0.25;
    private static final double CHANGE_GAIN = 0.4;

    /** The width of a class in the logarithm: the class around 1 reaches from 0.87 to 1.15. */
    private static final double CLASS_WIDTH = 0.28;

    /** How far from the middle of its class an estimate has to be to leave it, in the logarithm. */
    private static final double LEAVING_DISTANCE = 0.2;

    private double logarithm;
    private int runs;
    private int streak;
    private int speedClass;
    private double classSpeed = 1;
    private double reportedSpeed = 1;

    /** Creates the estimate for an endpoint of which nothing is known. */
    public EndpointSpeed() {}

    /**
     * Learns from a run.
     *
     * @param expectedMillis the run time that was expected at speed 1
     * @param ranMillis the run time that it took, or takes by its progress
     */
    public void ran(double expectedMillis, double ranMillis) {
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
        double ordinary = Math.max(LEAST_GAIN, 1.0 / (runs + PRIOR_RUNS));
        int length = Math.abs(streak);
        if (length < CHANGE_STREAK) {
            return ordinary;
        }
        return Math.max(ordinary, length == CHANGE_STREAK ? FIRST_CHANGE_GAIN : CHANGE_GAIN);
    }

    /** Changes the unit of the estimate, for an endpoint of which something is known. */
    void shift(double by) {
        if (isLearned()) {
            moveTo(logarithm + by);
        }
    }

    private void moveTo(double target) {
        logarithm = Math.max(Math.log(SLOWEST), Math.min(Math.log(FASTEST), target));
        if (Math.abs(logarithm - speedClass * CLASS_WIDTH) > LEAVING_DISTANCE) {
            speedClass = (int) Math.round(logarithm / CLASS_WIDTH);
            classSpeed = Math.exp(speedClass * CLASS_WIDTH);
        }
    }

    /** Returns whether any run was seen. */
    public boolean isLearned() {
        return runs > 0;
    }

    /** Returns the estimate: how many times as fast as the pool's mean the endpoint is. */
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

    /** Returns the class speed that the last report told, 1 before the first. */
    public double reportedSpeed() {
        return reportedSpeed;
    }

    /** Notes that the class speed is reported; returns whether it has changed since the last report. */
    public boolean report() {
        boolean changed = classSpeed != reportedSpeed;
        reportedSpeed = classSpeed;
        return changed;
    }
}
