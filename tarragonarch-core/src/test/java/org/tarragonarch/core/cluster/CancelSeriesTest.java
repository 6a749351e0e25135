package org.tarragonarch.core.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Jobs that are cancelled while nodes, and what connects them, fail in series. */
public final class CancelSeriesTest {
    private static final int FIRST_SEED = Integer.getInteger("cancel.series.first", 0);
    private static final int SEEDS = Integer.getInteger("cancel.series.seeds", 40);

    /** Returns the sets of faults in which endpoints carry out no order late. */
    @DataProvider
    public Object[][] faultSets() {
        return new Object[][] {
            {FaultSet.NO_CONNECTION_FAULTS_CLOCK_STOPS},
            {FaultSet.CUTS_CLOCK_GOES_ON},
            {FaultSet.NODES_RESTART},
            {FaultSet.NODES_RESTART_THREE_DOMAINS},
            {FaultSet.NODES_RESTART_THREE_DOMAINS_CLOCK_STOPS}
        };
    }

    /** Guards against a cancelled job that runs when its submission arrives again, whichever nodes were lost. */
    @Test(dataProvider = "faultSets")
    public void testCancelledJob_submittedAgain(FaultSet faults) {
        ImmutableList.Builder<String> failures = ImmutableList.builder();
        long acknowledged = 0;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            CancelSeries series = new CancelSeries(faults, seed);
            acknowledged += series.acknowledged();
            if (!series.violations().isEmpty()) {
                failures.add("seed " + seed + ": " + series.violations());
            }
        }
        assertEquals(failures.build().toString(), "[]");
        assertTrue(acknowledged > SEEDS, "only " + acknowledged + " cancellations were acknowledged");
    }
}
