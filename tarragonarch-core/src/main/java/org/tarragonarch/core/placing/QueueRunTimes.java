package org.tarragonarch.core.placing;

/**
 * The run times of one queue's tasks against what their callers declared: a line through the logarithms of both,
 * learned run by run.
 *
 * <p>Where declared times scatter as much as the true ones, a job with a short estimate is most likely not as short as
 * that. Believing it, such jobs looked hopeless and were refused while endpoints were free. The slope of the line says
 * how much an estimate is worth: 1 where estimates are exact up to a factor, 0 where they say nothing.
 */
final class QueueRunTimes {
    /** The weight of the newest run: what is learned follows a change within fifty runs, a second of a busy queue. */
    private static final double WEIGHT = 0.02;

    /** How many runs it takes before the slope is believed; until then only the common factor is. */
    private static final int RUNS_FOR_SLOPE = 30;

    private static final double SMALLEST_VARIANCE = 0.001;

    private final RunTimeSpread spread = new RunTimeSpread();
    private int runs;
    private double meanDeclared;
    private double meanTrue;
    private double variance;
    private double covariance;

    long expectedMillis(long declaredMillis) {
        double declared = Math.log(declaredMillis);
        double expected = meanTrue + slope() * (declared - meanDeclared);
        return Math.max(1, Math.round(runs == 0 ? declaredMillis : Math.exp(expected)));
    }

    /** Returns how far true run times lie from the expected ones. */
    RunTimeSpread spread() {
        return spread;
    }

    void record(long declaredMillis, long ranMillis) {
        spread.record(expectedMillis(declaredMillis), ranMillis);
        double declared = Math.log(declaredMillis);
        double ran = Math.log(Math.max(1, ranMillis));
        runs++;
        double weight = Math.max(WEIGHT, 1.0 / runs);
        double fromMean = declared - meanDeclared;
        meanDeclared += weight * fromMean;
        meanTrue += weight * (ran - meanTrue);
        variance += weight * (fromMean * (declared - meanDeclared) - variance);
        covariance += weight * (fromMean * (ran - meanTrue) - covariance);
    }

    private double slope() {
        if (runs < RUNS_FOR_SLOPE || variance < SMALLEST_VARIANCE) {
            return 1;
        }
        return Math.min(1, Math.max(0, covariance / variance));
    }
}
