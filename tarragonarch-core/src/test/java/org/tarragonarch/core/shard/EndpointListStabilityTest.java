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
public final class EndpointListStabilityTest {
    private static final FailureDomain HOBART = FailureDomain.of("hobart");
    private static final ImmutableSet<FailureDomain> SHARDS = ImmutableSet.of(HOBART);

    private static EndpointEntry entry(String id) {
        Resources capacity = new Resources(16_000, 0, 0);
        return new EndpointEntry(EndpointId.of(id), "s", new Address("10.0.0.1", 80), HOBART, false, capacity, false);
    }

    /** A domain was cut off for ten seconds; outside its list is empty, and then comes back one by one. */
    @Test
    public void testIsStable_entriesLapseAndReturn() {
        EndpointList endpoints = new EndpointList();
        endpoints.setServices(ImmutableSet.of("s"));
        EndpointListStability lists = new EndpointListStability(endpoints);
        endpoints.recordListed(entry("w-1"));
        endpoints.recordListed(entry("w-2"));
        lists.update(SHARDS, 0);
        assertFalse(lists.isStable(HOBART, 1_900));
        assertTrue(lists.isStable(HOBART, 2_000));
        endpoints.recordUnlisted(EndpointId.of("w-1"), 10_000);
        endpoints.recordUnlisted(EndpointId.of("w-2"), 10_000);
        lists.update(SHARDS, 10_000);
        assertFalse(lists.isStable(HOBART, 20_000));
        endpoints.recordListed(entry("w-1"));
        lists.update(SHARDS, 20_000);
        assertFalse(lists.isStable(HOBART, 20_100));
        endpoints.recordListed(entry("w-2"));
        lists.update(SHARDS, 21_500);
        assertTrue(lists.isStable(HOBART, 23_500));
    }

    @Test
    public void testIsStable_storeUnreadable() {
        EndpointList endpoints = new EndpointList();
        endpoints.setServices(ImmutableSet.of("s"));
        endpoints.recordListed(entry("w-1"));
        EndpointListStability lists = new EndpointListStability(endpoints);
        lists.update(SHARDS, 0);
        endpoints.recordStoreLost();
        assertFalse(lists.isStable(HOBART, 5_000));
        endpoints.recordStoreRegained(6_000);
        assertFalse(lists.isStable(HOBART, 7_900));
        assertTrue(lists.isStable(HOBART, 8_000));
    }
}
