package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** Tests the quantiles of a queue's run times. */
public final class RunTimeSpreadTest {
    private static final long EXPECTED_MILLIS = 100;

    private static void runs(RunTimeSpread spread, int count, double slowPart, double slowFactor) {
        Random random = new Random(20261203);
        for (int run = 0; run < count; run++) {
            double factor = random.nextDouble() < slowPart ? slowFactor : 1;
            spread.record(EXPECTED_MILLIS, EXPECTED_MILLIS * factor * Math.exp(0.1 * random.nextGaussian()));
        }
    }

    @Test
    public void testQuantile_fewRuns() {
        RunTimeSpread spread = new RunTimeSpread();
        runs(spread, 20, 1, 7);
        assertEquals(spread.quantile(0.9), 1.0);
    }

    /** Stragglers, 3% of the tasks with seven times the run time, affect the 99th percentile but not the median. */
    @Test
    public void testQuantile_stragglersAreInTheTailOnly() {
        RunTimeSpread spread = new RunTimeSpread();
        runs(spread, 3_000, 0.03, 7);
        assertEquals(spread.quantile(0.5), 1.0, 0.05);
        assertTrue(spread.quantile(0.99) > 5, "99th percentile " + spread.quantile(0.99));
        assertTrue(spread.medianSlowestRatio(40) > 5, "slowest of 40 " + spread.medianSlowestRatio(40));
    }

    /** Guards against a tail that never expires; it must disappear within two windows of runs. */
    @Test
    public void testQuantile_followsChange() {
        RunTimeSpread spread = new RunTimeSpread();
        runs(spread, 3_000, 0.2, 7);
        runs(spread, 1_001, 0, 1);
        assertTrue(spread.quantile(0.99) < 1.5, "99th percentile " + spread.quantile(0.99));
    }

    /** Guards against ratios outside the range of the histogram. */
    @Test
    public void testRecord_ratiosOutOfRange() {
        RunTimeSpread spread = new RunTimeSpread();
        for (int run = 0; run < 100; run++) {
            spread.record(1, run % 2 == 0 ? 0 : Long.MAX_VALUE);
        }
        assertTrue(spread.quantile(1) >= 19, "largest " + spread.quantile(1));
    }
}
