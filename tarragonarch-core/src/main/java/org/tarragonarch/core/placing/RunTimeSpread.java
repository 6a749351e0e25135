package org.tarragonarch.core.placing;

import java.util.Arrays;
import org.HdrHistogram.ShortCountsHistogram;

/**
 * How far the true run times of one queue lie from what was expected: the distribution of their ratio over the most
 * recent runs.
 *
 * <p>Two histograms of some 3 KB each alternate: the newer one starts when the older holds a whole window, and takes
 * its place when that holds two. So quantiles always come from one to two windows of runs and follow a change.
 */
final class RunTimeSpread {
    /** Runs that one window holds; a queue of 200 tasks a second fills it in some two seconds. */
    private static final int WINDOW_RUNS = 500;

    /** Fewer runs say too little of the tail; until then every run is taken to need what is expected. */
    private static final int LEAST_RUNS = 50;

    /** Cached quantiles are looked up again after so many runs, since a look-up passes over the whole histogram. */
    private static final int RUNS_PER_LOOKUP = 32;

    private static final int WIDEST_CACHED = 64;
    private static final double THOUSANDTHS = 1_000;
    private static final long SMALLEST_RATIO = 10;
    private static final long LARGEST_RATIO = 20_000;
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final double PERCENT = 100;

    private ShortCountsHistogram older = histogram();
    private ShortCountsHistogram newer = histogram();
    private final double[] slowestByWidth = new double[WIDEST_CACHED + 1];
    private int sinceLookup;

    private static ShortCountsHistogram histogram() {
        return new ShortCountsHistogram(1, LARGEST_RATIO, SIGNIFICANT_DIGITS);
    }

    /** Records a run that was expected to take one time and took another. */
    void ran(long expectedMillis, double ranMillis) {
        long thousandths = Math.round(THOUSANDTHS * ranMillis / Math.max(1, expectedMillis));
        long ratio = Math.min(LARGEST_RATIO, Math.max(SMALLEST_RATIO, thousandths));
        if (older.getTotalCount() >= WINDOW_RUNS) {
            newer.recordValue(ratio);
        }
        older.recordValue(ratio);
        if (older.getTotalCount() >= 2 * WINDOW_RUNS) {
            ShortCountsHistogram emptied = older;
            emptied.reset();
            older = newer;
            newer = emptied;
        }
        sinceLookup++;
        if (sinceLookup >= RUNS_PER_LOOKUP) {
            sinceLookup = 0;
            Arrays.fill(slowestByWidth, 0);
        }
    }

    /** Returns how many times the expected run time a part of the runs, from 0 to 1, needs at most. */
    double quantile(double part) {
        if (older.getTotalCount() < LEAST_RUNS) {
            return 1;
        }
        return older.getValueAtPercentile(part * PERCENT) / THOUSANDTHS;
    }

    /** Returns the median factor by which the slowest of so many tasks exceeds the expected run time. */
    double slowestOf(int tasks) {
        int width = Math.min(WIDEST_CACHED, Math.max(1, tasks));
        if (slowestByWidth[width] == 0) {
            slowestByWidth[width] = quantile(Math.pow(1.0 / 2, 1.0 / width));
        }
        return slowestByWidth[width];
    }
}
