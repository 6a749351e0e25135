package org.tarragonarch.core.cluster;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Jobs of sound, failing and crashing tasks while endpoints crash in series and holders change. */
public final class CrashSeriesTest {
    private static final int FIRST_SEED = Integer.getInteger("crash.series.first", 0);
    private static final int SEEDS = Integer.getInteger("crash.series.seeds", 100);

    private static final ImmutableSet<CrashRule> RULES =
            ImmutableSet.of(CrashRule.ANSWERS, CrashRule.RUNS, CrashRule.ATTEMPTS, CrashRule.CRASHES);

    /** Returns whether endpoints tell their start times from the beginning. */
    @DataProvider
    public Object[] reportsStarts() {
        return new Object[] {true, false};
    }

    /** Guards against jobs that fail without failed runs, and against tasks that are retried without bound. */
    @Test(dataProvider = "reportsStarts")
    public void testJobs_endpointsCrashInSeries(boolean reportsStarts) {
        ImmutableList.Builder<String> failures = ImmutableList.builder();
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            ImmutableList<CrashViolation> violations = new CrashSeries(reportsStarts, seed).violations(RULES);
            if (!violations.isEmpty()) {
                failures.add("seed " + seed + ": " + violations);
            }
        }
        assertEquals(failures.build().toString(), "[]");
    }
}
