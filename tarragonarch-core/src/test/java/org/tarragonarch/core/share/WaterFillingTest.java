package org.tarragonarch.core.share;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.share.ShareId;
import org.tarragonarch.model.share.ShareSettings;
import org.testng.annotations.Test;

public final class WaterFillingTest {
    private static ShareDemand demand(ShareSettings settings, long wanted) {
        return new ShareDemand(new ShareId("board", settings.priority()), settings, 0, wanted, 0);
    }

    private static long[] divide(ShareDemand... demands) {
        return WaterFilling.divide(7_000, ImmutableList.copyOf(demands));
    }

    @Test
    public void testDivide_byWeight() {
        long[] allotted = divide(
                demand(ShareSettings.weighted(0, 4), 9_000),
                demand(ShareSettings.weighted(1, 2), 9_000),
                demand(ShareSettings.weighted(2, 1), 9_000));
        assertEquals(allotted, new long[] {4_000, 2_000, 1_000});
    }

    /** Guards against capacity that one share does not want and no other share gets. */
    @Test
    public void testDivide_redistributesUnwantedCapacity() {
        long[] allotted = divide(
                demand(ShareSettings.weighted(0, 4), 1_000),
                demand(ShareSettings.weighted(1, 2), 9_000),
                demand(ShareSettings.weighted(2, 1), 9_000));
        assertEquals(allotted, new long[] {1_000, 4_000, 2_000});
    }

    @Test
    public void testDivide_guaranteeAndCeiling() {
        long[] allotted = divide(
                demand(ShareSettings.weighted(0, 100), 9_000),
                demand(new ShareSettings(1, 1, 0.2, 1), 9_000),
                demand(new ShareSettings(2, 100, 0, 0.1), 9_000));
        assertEquals(allotted, new long[] {4_900, 1_400, 700});
    }

    @Test
    public void testDivide_demandWithinCapacity() {
        long[] allotted = divide(demand(ShareSettings.weighted(0, 4), 1_000), demand(ShareSettings.weighted(1, 2), 0));
        assertEquals(allotted, new long[] {1_000, 0});
    }
}
