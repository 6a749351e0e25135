package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** Tests the expected run times that are learned from estimates with different kinds of errors. */
public final class RunTimesTest {
    private static final int RUNS = 2_000;

    @Test
    public void testExpected_nothingLearned() {
        assertEquals(new RunTimes().expectedMillis("q", 60), 60);
    }

    /** A factor by which all estimates are wrong is learned, and short jobs keep shorter expected run times. */
    @Test
    public void testExpected_commonFactor() {
        RunTimes times = new RunTimes();
        Random random = new Random(1);
        for (int run = 0; run < RUNS; run++) {
            long estimate = 40 + random.nextInt(200);
            times.record("q", estimate, estimate * 2);
        }
        assertEquals(times.expectedMillis("q", 50), 100, 3.0);
        assertEquals(times.expectedMillis("q", 200), 400, 8.0);
    }

    /** Guards against refusals by estimates that scatter by 40%: 30 ms in a queue with a mean of 60 ms means 43 ms. */
    @Test
    public void testExpected_scatteredEstimatesShrinkToTheMean() {
        RunTimes times = new RunTimes();
        Random random = new Random(2);
        for (int run = 0; run < RUNS; run++) {
            double ran = 60 * Math.exp(0.4 * random.nextGaussian());
            double estimate = ran * Math.exp(0.4 * random.nextGaussian());
            times.record("q", Math.max(1, Math.round(estimate)), Math.round(ran));
        }
        long expected = times.expectedMillis("q", 30);
        assertTrue(expected > 36 && expected < 50, "expected " + expected);
    }

    /** Estimates that do not correlate with the run time are ignored. */
    @Test
    public void testExpected_uninformativeEstimates() {
        RunTimes times = new RunTimes();
        Random random = new Random(3);
        for (int run = 0; run < RUNS; run++) {
            times.record("q", 10 + random.nextInt(1_000), 95 + random.nextInt(10));
        }
        assertEquals(times.expectedMillis("q", 1_000), 100, 15.0);
    }
}
