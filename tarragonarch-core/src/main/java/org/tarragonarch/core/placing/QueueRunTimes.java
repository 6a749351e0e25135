package org.tarragonarch.core.placing;

/**
 * Estimates the run times of one queue's tasks from the run times that their callers declared, by linear regression on
 * the logarithms of both, updated with each run.
 *
 * <p>Where declared times scatter as much as the true ones, a job with a short declared time is probably longer than
 * declared. Trusting the declared time would make such jobs seem unable to meet their objective, and they would be
 * refused while endpoints are free. The slope of the regression is the weight of the declared time: 1 where declared
 * times are exact up to a common factor, 0 where they are uncorrelated with the true ones.
 */
final class QueueRunTimes {
    /** The weight of the newest run: estimates follow a change within fifty runs, a second of a busy queue. */
    private static final double WEIGHT = 0.02;

    /** The number of runs from which the slope is used; before, only the common factor is. */
    private static final int MIN_RUNS_FOR_SLOPE = 30;

    private static final double MIN_VARIANCE = 0.001;

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

    /** Returns the spread of the true run times around the expected ones. */
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
        if (runs < MIN_RUNS_FOR_SLOPE || variance < MIN_VARIANCE) {
            return 1;
        }
        return Math.min(1, Math.max(0, covariance / variance));
    }
}
