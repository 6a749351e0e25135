package org.tarragonarch.core.shard;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.Resources;
import org.testng.annotations.Test;

/** Tests which entries a peer that knows an earlier version of the list is given. */
public final class EndpointChangesTest {
    private static EndpointEntry entry(String id, long milliCores) {
        return new EndpointEntry(
                EndpointId.of(id),
                "board",
                new Address("10.0.0.1", 80),
                FailureDomain.of("hobart"),
                false,
                new Resources(milliCores, 64, 0),
                false);
    }

    @Test
    public void testSince_onlyChangedEntries() {
        EndpointChanges changes = new EndpointChanges();
        changes.update(ImmutableList.of(entry("w-1", 100), entry("w-2", 100)), 10);
        changes.update(ImmutableList.of(entry("w-1", 100), entry("w-2", 50)), 12);
        changes.confirm(14);
        assertEquals(changes.version(), 14);
        assertEquals(changes.since(10), ImmutableList.of(entry("w-2", 50)));
        assertEquals(changes.since(12), ImmutableList.of());
        assertEquals(changes.since(0).size(), 2);
    }

    /** Guards against an endpoint that left and returned, and that a peer is not told of. */
    @Test
    public void testSince_endpointIsListedAgain() {
        EndpointChanges changes = new EndpointChanges();
        changes.update(ImmutableList.of(entry("w-1", 100)), 10);
        changes.update(ImmutableList.of(), 11);
        changes.update(ImmutableList.of(entry("w-1", 100)), 12);
        assertEquals(changes.since(11), ImmutableList.of(entry("w-1", 100)));
    }

    /** Guards against a version that goes back, with which a peer's older entries would replace newer ones. */
    @Test
    public void testVersion_olderReading() {
        EndpointChanges changes = new EndpointChanges();
        changes.update(ImmutableList.of(), 12);
        changes.confirm(11);
        assertEquals(changes.version(), 12);
    }
}
