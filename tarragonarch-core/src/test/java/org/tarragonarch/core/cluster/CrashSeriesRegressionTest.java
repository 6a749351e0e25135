package org.tarragonarch.core.cluster;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Series of crashes in which a rule was broken. */
public final class CrashSeriesRegressionTest {
    private static void assertKept(CrashRule rule, boolean reportsStarts, long seed) {
        ImmutableList<CrashViolation> violations =
                new CrashSeries(reportsStarts, seed).violations(ImmutableSet.of(rule));
        assertEquals(violations.toString(), "[]");
    }

    /** Returns series in which a run fails while no node reaches its endpoint. */
    @DataProvider
    public Object[] failuresReadLate() {
        return new Object[] {49, 151, 212, 237, 306, 363, 721};
    }

    /** Guards against a task that goes on after as many failed runs as its queue allows, some counted as lapsed. */
    @Test(dataProvider = "failuresReadLate")
    public void testAttempts_failedRunIsReadAfterItHasLapsed(long seed) {
        assertKept(CrashRule.ATTEMPTS_READ_LATE, true, seed);
    }

    /** Returns series in which the next holder reads the ends of runs that the one before has started. */
    @DataProvider
    public Object[] failuresOfEarlierHolders() {
        return new Object[] {81, 239, 299, 511, 1_091, 1_491, 2_019};
    }

    /** Guards against a task that a next holder starts, although its endpoints list as many failed runs. */
    @Test(dataProvider = "failuresOfEarlierHolders")
    public void testAttempts_failedRunsAreListedToTheNextHolder(long seed) {
        assertKept(CrashRule.ATTEMPTS_OF_ALL_HOLDERS, true, seed);
    }

    /** Returns series in which an endpoint restarts unnoticed and numbers its ends from 1 again. */
    @DataProvider
    public Object[] failuresAtUnnoticedIncarnations() {
        return new Object[] {166, 208, 282, 2_005};
    }

    /** Guards against failed runs that a holder takes for read, because the incarnation before has listed others. */
    @Test(dataProvider = "failuresAtUnnoticedIncarnations")
    public void testAttempts_endpointWithoutStartRestartsUnnoticed(long seed) {
        assertKept(CrashRule.ATTEMPTS, false, seed);
    }

    /** Returns series in which endpoints without start times crash again before they have run for long. */
    @DataProvider
    public Object[] crashesOfUnnoticedIncarnations() {
        return new Object[] {92, 130, 167, 315, 2_017, 3_007};
    }

    /** Guards against crashes that a holder does not count, because it does not notice that the endpoint restarts. */
    @Test(dataProvider = "crashesOfUnnoticedIncarnations")
    public void testCrashes_endpointWithoutStartRestartsUnnoticed(long seed) {
        assertKept(CrashRule.CRASHES, false, seed);
    }

    /** Returns series in which a job that crashes endpoints is submitted again after its holder is lost. */
    @DataProvider
    public Object[] crashesUnderSeveralHolders() {
        return new Object[] {12, 44, 2, 7};
    }

    /** Guards against a task that crashes as many endpoints again under each holder. */
    @Test(dataProvider = "crashesUnderSeveralHolders")
    public void testCrashes_holdersChange(long seed) {
        assertKept(CrashRule.CRASHES_UNDER_ALL_HOLDERS, true, seed);
    }

    /** Returns series in which endpoints crash silently under a task, so that its holder counts them late. */
    @DataProvider
    public Object[] silentCrashes() {
        return new Object[] {694, 1_965, 2_922};
    }

    /** Guards against a task that crashes more endpoints, because earlier crashes under it are not known yet. */
    @Test(dataProvider = "silentCrashes")
    public void testCrashes_endpointsAreSilent(long seed) {
        assertKept(CrashRule.CRASHES, true, seed);
    }

    /** Returns series in which idle endpoints crash and are sent tasks before their holder knows of it. */
    @DataProvider
    public Object[][] refusedStarts() {
        return new Object[][] {{true, 326}, {true, 937}, {true, 1_583}, {true, 2_750}, {false, 937}};
    }

    /** Guards against a sound job that is given up for good, because starts that were refused count as crashes. */
    @Test(dataProvider = "refusedStarts")
    public void testSoundJobs_startsAreRefusedByOtherEndpoints(boolean reportsStarts, long seed) {
        assertKept(CrashRule.SOUND_JOBS, reportsStarts, seed);
    }

    /** Returns series in which two holders start runs at an endpoint that has restarted. */
    @DataProvider
    public Object[][] forgottenTokens() {
        return new Object[][] {{true, 2_429}, {true, 2_682}, {false, 287}};
    }

    /** Guards against a holder that starts runs by an old list at an endpoint that obeys a lower token since. */
    @Test(dataProvider = "forgottenTokens")
    public void testRuns_endpointHasForgottenItsToken(boolean reportsStarts, long seed) {
        assertKept(CrashRule.RUNS, reportsStarts, seed);
    }

    /** Returns series in which crashes or failed runs are not counted, although endpoints tell their start times. */
    @DataProvider
    public Object[][] uncountedEnds() {
        return new Object[][] {
            {CrashRule.CRASHES, 1_272},
            {CrashRule.CRASHES, 1_687},
            {CrashRule.CRASHES, 1_695},
            {CrashRule.CRASHES, 2_486},
            {CrashRule.ATTEMPTS_OF_ALL_HOLDERS, 2_450},
            {CrashRule.ATTEMPTS_OF_ALL_HOLDERS, 3_016},
            {CrashRule.ATTEMPTS_OF_ALL_HOLDERS, 4_589}
        };
    }

    /** Guards against a task that goes on after its bound, because ends of its runs are not counted. */
    @Test(dataProvider = "uncountedEnds")
    public void testEnds_areNotCounted(CrashRule rule, long seed) {
        assertKept(rule, true, seed);
    }

    /** Returns series in which endpoints that tell no start times restart. */
    @DataProvider
    public Object[][] endsWithoutStarts() {
        return new Object[][] {
            {CrashRule.CRASHES, 717},
            {CrashRule.CRASHES, 962},
            {CrashRule.CRASHES, 1_887},
            {CrashRule.ATTEMPTS_READ_LATE, 1_088},
            {CrashRule.ATTEMPTS_READ_LATE, 1_891},
            {CrashRule.ATTEMPTS_READ_LATE, 2_611},
            {CrashRule.SOUND_JOBS, 4_099},
            {CrashRule.RUNS, 2_429}
        };
    }

    /** Guards against the same, jobs given up for good and used up capacity where endpoints tell no start times. */
    @Test(dataProvider = "endsWithoutStarts")
    public void testEnds_areNotCountedWithoutStarts(CrashRule rule, long seed) {
        assertKept(rule, false, seed);
    }
}
