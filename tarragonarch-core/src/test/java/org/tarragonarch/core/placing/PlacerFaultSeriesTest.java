package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.EnumSet;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Series of faults at the endpoints of two pools: no task runs twice, no endpoint is over its capacity. */
public final class PlacerFaultSeriesTest {
    private static final int SEEDS = Integer.getInteger("placer.fault.seeds", 60);
    private static final int FIRST_SEED = Integer.getInteger("placer.fault.first", 0);
    private static final Set<FaultEvent> ALL = EnumSet.allOf(FaultEvent.class);

    @DataProvider
    public static Object[][] faults() {
        return new Object[][] {
            {"orders", ImmutableSet.of(), true},
            {"orders, clients", ImmutableSet.of(FaultEvent.CLIENT_LEAVES), true},
            {"orders, restarts", ImmutableSet.of(FaultEvent.RESTART), true},
            {"orders, restarts without start", ImmutableSet.of(FaultEvent.RESTART_WITHOUT_START), true},
            {"orders, restarts under other ids", ImmutableSet.of(FaultEvent.RESTART_UNDER_OTHER_ID), true},
            {"orders, capacity", ImmutableSet.of(FaultEvent.RESIZE), true},
            {"orders, claims", ImmutableSet.of(FaultEvent.CLAIM), true},
            {"events", ALL, false},
            {"orders, events", ALL, true},
        };
    }

    /** Guards against two runs of a task, endpoints over their capacity and lost jobs under faults in series. */
    @Test(dataProvider = "faults")
    public void testSeries_faultsOfEndpoints(String what, Set<FaultEvent> events, boolean ordersFail) {
        ImmutableList.Builder<String> failures = ImmutableList.builder();
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            ImmutableList<String> wrong = new EndpointFaultSeries(seed, events, ordersFail).play();
            if (!wrong.isEmpty()) {
                failures.add("seed " + seed + ": " + wrong);
            }
        }
        assertEquals(failures.build().toString(), "[]", what);
    }

    /** Guards against a run that no holder adopts and whose lease three holders in series extend. */
    @Test
    public void testSeries_threeClaimsWhileStopsAreLost() {
        ImmutableList<String> wrong = new EndpointFaultSeries(4515, ImmutableSet.of(FaultEvent.CLAIM), true).play();
        assertEquals(wrong, ImmutableList.of());
    }
}
