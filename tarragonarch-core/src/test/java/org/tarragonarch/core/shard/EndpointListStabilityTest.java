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

/** Tests for {@link EndpointListStability}. */
public final class EndpointListStabilityTest {
    private static final FailureDomain HOBART = FailureDomain.of("hobart");
    private static final ImmutableSet<FailureDomain> SHARDS = ImmutableSet.of(HOBART);

    private static EndpointEntry entry(String id) {
        Resources capacity = new Resources(16_000, 0, 0);
        return new EndpointEntry(EndpointId.of(id), "s", new Address("10.0.0.1", 80), HOBART, false, capacity, false);
    }

    /**
     * Guards against a list taken as complete while entries that lapsed in a partition are still returning one by one.
     */
    @Test
    public void testIsStable_entriesLapseAndReturn() {
        EndpointList endpoints = new EndpointList();
        endpoints.setServices(ImmutableSet.of("s"));
        EndpointListStability stability = new EndpointListStability(endpoints);
        endpoints.recordListed(entry("w-1"), 0);
        endpoints.recordListed(entry("w-2"), 0);
        stability.update(SHARDS, 0);
        assertFalse(stability.isStable(HOBART, 1_900));
        assertTrue(stability.isStable(HOBART, 2_000));
        endpoints.recordUnlisted(EndpointId.of("w-1"), 10_000);
        endpoints.recordUnlisted(EndpointId.of("w-2"), 10_000);
        stability.update(SHARDS, 10_000);
        assertFalse(stability.isStable(HOBART, 20_000));
        endpoints.recordListed(entry("w-1"), 0);
        stability.update(SHARDS, 20_000);
        assertFalse(stability.isStable(HOBART, 20_100));
        endpoints.recordListed(entry("w-2"), 0);
        stability.update(SHARDS, 21_500);
        assertTrue(stability.isStable(HOBART, 23_500));
    }

    @Test
    public void testIsStable_storeUnreadable() {
        EndpointList endpoints = new EndpointList();
        endpoints.setServices(ImmutableSet.of("s"));
        endpoints.recordListed(entry("w-1"), 0);
        EndpointListStability stability = new EndpointListStability(endpoints);
        stability.update(SHARDS, 0);
        endpoints.recordStoreLost();
        assertFalse(stability.isStable(HOBART, 5_000));
        endpoints.recordStoreRegained(6_000);
        assertFalse(stability.isStable(HOBART, 7_900));
        assertTrue(stability.isStable(HOBART, 8_000));
    }
}
