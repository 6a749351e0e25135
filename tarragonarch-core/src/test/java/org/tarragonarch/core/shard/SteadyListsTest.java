package org.tarragonarch.core.shard;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.Resources;
import org.testng.annotations.Test;

/** When a list of endpoints can be taken for whole. */
public final class SteadyListsTest {
    private static final FailureDomain HOBART = FailureDomain.of("hobart");
    private static final ImmutableSet<FailureDomain> SHARDS = ImmutableSet.of(HOBART);

    private static EndpointEntry entry(String id) {
        Resources capacity = new Resources(16_000, 0, 0);
        return new EndpointEntry(EndpointId.of(id), "s", new Address("10.0.0.1", 80), HOBART, false, capacity, false);
    }

    /** A domain was cut off for ten seconds; outside its list is empty, and then comes back one by one. */
    @Test
    public void testIsSteady_entriesLapseAndComeBack() {
        EndpointList endpoints = new EndpointList();
        endpoints.served(ImmutableSet.of("s"));
        SteadyLists lists = new SteadyLists(endpoints);
        endpoints.listed(entry("w-1"));
        endpoints.listed(entry("w-2"));
        lists.update(SHARDS, 0);
        assertFalse(lists.isSteady(HOBART, 1_900));
        assertTrue(lists.isSteady(HOBART, 2_000));
        endpoints.unlisted(EndpointId.of("w-1"), 10_000);
        endpoints.unlisted(EndpointId.of("w-2"), 10_000);
        lists.update(SHARDS, 10_000);
        assertFalse(lists.isSteady(HOBART, 20_000));
        endpoints.listed(entry("w-1"));
        lists.update(SHARDS, 20_000);
        assertFalse(lists.isSteady(HOBART, 20_100));
        endpoints.listed(entry("w-2"));
        lists.update(SHARDS, 21_500);
        assertTrue(lists.isSteady(HOBART, 23_500));
    }

    @Test
    public void testIsSteady_storeIsAway() {
        EndpointList endpoints = new EndpointList();
        endpoints.served(ImmutableSet.of("s"));
        endpoints.listed(entry("w-1"));
        SteadyLists lists = new SteadyLists(endpoints);
        lists.update(SHARDS, 0);
        endpoints.storeLost();
        assertFalse(lists.isSteady(HOBART, 5_000));
        endpoints.storeBack(6_000);
        assertFalse(lists.isSteady(HOBART, 7_900));
        assertTrue(lists.isSteady(HOBART, 8_000));
    }
}
