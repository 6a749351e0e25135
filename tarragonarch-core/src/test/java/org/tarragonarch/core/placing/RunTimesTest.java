package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** What is learned of run times from estimates that are wrong in different ways. */
public final class RunTimesTest {
    private static final int RUNS = 2_000;

    @Test
    public void testExpected_nothingLearned() {
        assertEquals(new RunTimes().expectedMillis("q", 60), 60);
    }

    /** All estimates are off by the same factor: it is learned, and short jobs stay short. */
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

    /** Guards against jobs refused by estimates that scatter by 40%: 30 ms in a queue of 60 ms means 43 ms. */
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

    /** Estimates that say nothing are not believed at all. */
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
