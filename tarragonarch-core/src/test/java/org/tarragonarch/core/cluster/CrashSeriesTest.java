package org.tarragonarch.core.cluster;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Jobs of sound, failing and crashing tasks while endpoints crash in series and holders change. */
public final class CrashSeriesTest {
    private static final int FIRST_SEED = Integer.getInteger("crash.series.first", 0);
    private static final int SEEDS = Integer.getInteger("crash.series.seeds", 60);

    /** Returns whether endpoints tell their start times from the beginning. */
    @DataProvider
    public Object[] reportsStarts() {
        return new Object[] {true, false};
    }

    /** Guards against jobs that fail without failed runs, are not answered, or go on after their last attempt. */
    @Test(dataProvider = "reportsStarts")
    public void testJobs_endpointsCrashInSeries(boolean reportsStarts) {
        assertKept(ImmutableSet.of(CrashRule.ANSWERS, CrashRule.RUNS, CrashRule.ATTEMPTS), reportsStarts);
    }

    /** Guards against tasks that crash one endpoint after the other under one holder. */
    @Test
    public void testCrashes_endpointsTellTheirStarts() {
        assertKept(ImmutableSet.of(CrashRule.CRASHES), true);
    }

    /** Guards against the same where a holder learns only from clocks that endpoints have restarted. */
    @Test
    public void testCrashes_endpointsTellNoStarts() {
        assertKept(ImmutableSet.of(CrashRule.CRASHES), false);
    }

    private static void assertKept(ImmutableSet<CrashRule> rules, boolean reportsStarts) {
        ImmutableList.Builder<String> failures = ImmutableList.builder();
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            ImmutableList<CrashViolation> violations = new CrashSeries(reportsStarts, seed).violations(rules);
            if (!violations.isEmpty()) {
                failures.add("seed " + seed + ": " + violations);
            }
        }
        assertEquals(failures.build().toString(), "[]");
    }
}
