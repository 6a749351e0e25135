package org.tarragonarch.core.placing;

import java.util.Arrays;
import org.HdrHistogram.ShortCountsHistogram;

/**
 * The distribution of the ratio of actual to expected run time over the most recent runs of one queue.
 *
 * <p>Two histograms of about 3 KB each alternate. The newer one starts when the older holds one window, and replaces
 * the older when that holds two windows, so that quantiles always cover the last one to two windows of runs.
 */
final class RunTimeSpread {
    /** The number of runs in one window; a queue of 200 tasks per second fills it in 2.5 s. */
    private static final int WINDOW_RUNS = 500;

    /** The number of runs that determine the tail; with fewer runs the ratio is assumed to be 1. */
    private static final int MIN_RUNS = 50;

    /** The number of runs for which quantiles are cached, since each is computed from the whole histogram. */
    private static final int RUNS_PER_CACHE = 32;

    /** The largest number of tasks with a quantile of its own; wider jobs use the quantile of this number. */
    private static final int MAX_TASKS = 64;

    private static final double THOUSANDTHS = 1_000;
    private static final long MIN_RATIO_THOUSANDTHS = 10;
    private static final long MAX_RATIO_THOUSANDTHS = 20_000;
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final double PERCENT = 100;

    private ShortCountsHistogram older = histogram();
    private ShortCountsHistogram newer = histogram();
    private final double[] slowestByTasks = new double[MAX_TASKS + 1];
    private int runsSinceCleared;

    private static ShortCountsHistogram histogram() {
        return new ShortCountsHistogram(1, MAX_RATIO_THOUSANDTHS, SIGNIFICANT_DIGITS);
    }

    /** Records the expected and the actual run time of a run, in milliseconds. */
    void record(long expectedMillis, double ranMillis) {
        long thousandths = Math.round(THOUSANDTHS * ranMillis / Math.max(1, expectedMillis));
        long ratio = Math.min(MAX_RATIO_THOUSANDTHS, Math.max(MIN_RATIO_THOUSANDTHS, thousandths));
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
        runsSinceCleared++;
        if (runsSinceCleared >= RUNS_PER_CACHE) {
            runsSinceCleared = 0;
            Arrays.fill(slowestByTasks, 0);
        }
    }

    /** Returns the ratio of actual to expected run time that a fraction of the runs, from 0 to 1, does not exceed. */
    double quantile(double fraction) {
        if (older.getTotalCount() < MIN_RUNS) {
            return 1;
        }
        return older.getValueAtPercentile(fraction * PERCENT) / THOUSANDTHS;
    }

    /** Returns the median of the largest ratio of actual to expected run time among the given number of tasks. */
    double medianSlowestRatio(int tasks) {
        int bounded = Math.min(MAX_TASKS, Math.max(1, tasks));
        if (slowestByTasks[bounded] == 0) {
            slowestByTasks[bounded] = quantile(Math.pow(1.0 / 2, 1.0 / bounded));
        }
        return slowestByTasks[bounded];
    }
}
