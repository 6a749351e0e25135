package org.tarragonarch.core.cluster;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import java.util.Arrays;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Jobs of all nodes while nodes, endpoints, clients and what connects them fail in series. */
public final class FaultSeriesTest {
    private static final int FIRST_SEED = Integer.getInteger("fault.series.first", 0);
    private static final int SEEDS = Integer.getInteger("fault.series.seeds", 40);

    /** Returns each set of faults. */
    @DataProvider
    public Object[][] faultSets() {
        return Arrays.stream(FaultSet.values()).map(set -> new Object[] {set}).toArray(Object[][]::new);
    }

    /** Guards against two runs of a task, more tasks than an endpoint has room for, and a job without an answer. */
    @Test(dataProvider = "faultSets")
    public void testJobs_faultsInSeries(FaultSet faults) {
        ImmutableList.Builder<String> failures = ImmutableList.builder();
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            ImmutableList<String> violations = new FaultSeries(faults, seed).violations();
            if (!violations.isEmpty()) {
                failures.add("seed " + seed + ": " + violations);
            }
        }
        assertEquals(failures.build().toString(), "[]");
    }
}
