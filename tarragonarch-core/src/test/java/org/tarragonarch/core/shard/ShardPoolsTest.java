package org.tarragonarch.core.shard;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Region;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.Resources;
import org.testng.annotations.Test;

/** Tests for {@link ShardPools}. */
public final class ShardPoolsTest {
    private static final FailureDomain HOBART = FailureDomain.of("hobart");
    private static final FailureDomain LAUNCESTON = FailureDomain.of("launceston");
    private static final FailureDomain ESPOO = FailureDomain.of("espoo");
    private static final Region SOUTH = Region.of("south");

    private final EndpointList endpoints = new EndpointList();
    private final ShardPools pools =
            new ShardPools(ImmutableMap.of(HOBART, SOUTH, LAUNCESTON, SOUTH, ESPOO, Region.of("north")), endpoints);

    private void list(int from, int to) {
        for (int i = from; i <= to; i++) {
            FailureDomain domain = i % 2 == 0 ? HOBART : LAUNCESTON;
            Resources capacity = new Resources(16_000, 32_768, 0);
            endpoints.recordListed(
                    new EndpointEntry(
                            EndpointId.of("w-" + i), "s", new Address("10.0.0.1", 80), domain, false, capacity, false),
                    0);
        }
        pools.review();
    }

    @Test
    public void testPoolOf() {
        ShardPoolsTest test = new ShardPoolsTest();
        test.list(1, 96);
        assertEquals(test.pools.poolOf(HOBART), ImmutableSet.of(HOBART, LAUNCESTON));
        assertEquals(test.pools.poolOf(ESPOO), ImmutableSet.of(ESPOO));
        assertEquals(test.pools.shards(), ImmutableSet.of(HOBART, LAUNCESTON, ESPOO));
    }

    /** Guards against a pool that splits and rejoins each time its region crosses 96 endpoints. */
    @Test
    public void testPoolOf_splitRegionShrinks() {
        ShardPoolsTest test = new ShardPoolsTest();
        test.list(1, 97);
        assertEquals(test.pools.poolOf(HOBART), ImmutableSet.of(HOBART));
        for (int i = 97; i > 81; i--) {
            test.endpoints.recordUnlisted(EndpointId.of("w-" + i), 0);
            test.pools.review();
        }
        assertEquals(test.pools.poolOf(HOBART), ImmutableSet.of(HOBART));
        test.endpoints.recordUnlisted(EndpointId.of("w-81"), 0);
        test.pools.review();
        assertEquals(test.pools.poolOf(HOBART), ImmutableSet.of(HOBART, LAUNCESTON));
    }
}
