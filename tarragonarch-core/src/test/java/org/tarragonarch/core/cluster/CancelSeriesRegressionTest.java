package org.tarragonarch.core.cluster;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Series of faults in which a cancelled job has run when its submission arrived again. */
public final class CancelSeriesRegressionTest {
    /** Returns series in which one node took a cancellation and was lost, while a holder was cut off or down. */
    @DataProvider
    public Object[][] lostNodes() {
        return new Object[][] {
            {FaultSet.CUTS_CLOCK_GOES_ON, 1_422},
            {FaultSet.NODES_RESTART, 1_110},
            {FaultSet.NODES_RESTART, 2_081},
            {FaultSet.NODES_RESTART, 2_150},
            {FaultSet.NODES_RESTART, 4_291},
            {FaultSet.NODES_RESTART, 10_097},
            {FaultSet.NODES_RESTART, 10_620},
            {FaultSet.NODES_RESTART_THREE_DOMAINS, 164},
            {FaultSet.NODES_RESTART_THREE_DOMAINS, 750}
        };
    }

    /** Guards against a holder that never hears of a cancellation, because the node that took it was lost. */
    @Test(dataProvider = "lostNodes")
    public void testCancelledJob_nodeThatTookTheCancellationIsLost(FaultSet faults, long seed) {
        assertEquals(new CancelSeries(faults, seed).violations().toString(), "[]");
    }

    /** Guards against a cancellation that is forgotten because all nodes that knew of it are lost. */
    @Test
    public void testCancelledJob_allNodesThatKnowTheCancellationAreLost() {
        assertEquals(
                new CancelSeries(FaultSet.NODES_RESTART, 3_749).violations().toString(), "[]");
    }
}
