package org.tarragonarch.core.shard;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.Resources;
import org.testng.annotations.Test;

/** Tests for {@link EndpointList}. */
public final class EndpointListTest {
    private static final FailureDomain HOBART = FailureDomain.of("hobart");

    private static EndpointList list() {
        EndpointList list = new EndpointList();
        list.setServices(ImmutableSet.of("s"));
        return list;
    }

    private static EndpointEntry entry(String id) {
        return entry(id, "s");
    }

    private static EndpointEntry entry(String id, String service) {
        return new EndpointEntry(
                EndpointId.of(id),
                service,
                new Address("10.0.0.1", 80),
                HOBART,
                false,
                new Resources(16_000, 0, 0),
                false);
    }

    @Test
    public void testRecordUnlisted_storeReadable() {
        EndpointList list = list();
        list.recordListed(entry("w"), 0);
        assertTrue(list.recordUnlisted(EndpointId.of("w"), 100));
        assertTrue(list.isEmpty());
    }

    /** Guards against dropping live endpoints whose entries lapsed during an outage of the store. */
    @Test
    public void testRecordUnlisted_afterOutage() {
        EndpointList list = list();
        list.recordListed(entry("back"), 0);
        list.recordListed(entry("gone"), 0);
        list.recordStoreLost();
        list.recordStoreRegained(10_000);
        assertFalse(list.recordUnlisted(EndpointId.of("back"), 10_010));
        assertFalse(list.recordUnlisted(EndpointId.of("gone"), 10_010));
        list.recordListed(entry("back"), 0);
        assertFalse(list.expire(12_000));
        assertEquals(list.inDomain(HOBART).size(), 2);
        assertTrue(list.expire(12_600));
        assertEquals(list.inDomain(HOBART), ImmutableList.of(entry("back")));
    }

    /** Guards against a holder that does not ask an endpoint which lost its entry but still runs tasks. */
    @Test
    public void testInDomainWithDeparted_removedEntry() {
        EndpointList list = list();
        list.recordListed(entry("w"), 0);
        list.recordUnlisted(EndpointId.of("w"), 100);
        assertEquals(list.inDomain(HOBART), ImmutableList.of());
        assertEquals(
                list.inDomainWithDeparted(HOBART), ImmutableList.of(entry("w").asDraining()));
        assertFalse(list.expire(15_099));
        assertTrue(list.expire(15_100));
        assertEquals(list.inDomainWithDeparted(HOBART), ImmutableList.of());
    }

    /** Guards against a holder that calls endpoints of an unknown service. */
    @Test
    public void testInDomainWithDeparted_unknownService() {
        EndpointList list = list();
        list.recordListed(entry("w", "unknown"), 0);
        list.recordUnlisted(EndpointId.of("w"), 100);
        assertEquals(list.inDomainWithDeparted(HOBART), ImmutableList.of());
    }

    /** Guards against an endpoint whose entry returned but that stays draining or is returned twice. */
    @Test
    public void testInDomainWithDeparted_listedAgain() {
        EndpointList list = list();
        list.recordListed(entry("w"), 0);
        list.recordUnlisted(EndpointId.of("w"), 100);
        list.recordListed(entry("w"), 0);
        assertEquals(list.inDomainWithDeparted(HOBART), ImmutableList.of(entry("w")));
    }

    /** Guards against jobs that wait for an endpoint which announced that it leaves and then left. */
    @Test
    public void testInDomainWithDeparted_announced() {
        EndpointList list = list();
        list.recordListed(entry("w").asDraining(), 0);
        list.recordUnlisted(EndpointId.of("w"), 100);
        assertEquals(list.inDomainWithDeparted(HOBART), ImmutableList.of());
    }

    @Test
    public void testRecordListed_sameEntryTwice() {
        EndpointList list = new EndpointList();
        assertTrue(list.recordListed(entry("w"), 0));
        assertFalse(list.recordListed(entry("w"), 0));
    }

    private static EndpointEntry started(long startedMillis) {
        return entry("w").withIncarnation(new EndpointIncarnation(EndpointId.of("w"), startedMillis));
    }

    /** Guards against accepting an entry of an earlier incarnation, from the store or a peer, after a later one. */
    @Test
    public void testRecordListed_earlierIncarnation() {
        EndpointList list = list();
        assertTrue(list.recordListed(started(2_000), 0));
        assertFalse(list.recordListed(started(1_000), 0));
        assertFalse(list.recordFromPeer(started(1_000)));
        assertFalse(list.replaceAll(ImmutableList.of(started(1_000)), 100));
        assertEquals(list.inDomain(HOBART), ImmutableList.of(started(2_000)));
        assertTrue(list.recordListed(started(3_000), 0));
        assertEquals(list.inDomain(HOBART), ImmutableList.of(started(3_000)));
    }

    /** Guards against accepting an entry of an earlier incarnation while the later one is not listed. */
    @Test
    public void testRecordListed_earlierIncarnationWhileUnlisted() {
        EndpointList list = list();
        list.recordListed(started(2_000), 0);
        list.recordUnlisted(EndpointId.of("w"), 100);
        assertFalse(list.recordListed(started(1_000), 0));
        assertTrue(list.isEmpty());
        assertTrue(list.recordListed(started(2_000), 0));
    }

    /** Guards against accepting an entry of another writer, which lacks the start time, as the endpoint's own. */
    @Test
    public void testRecordListed_withoutKnownStart() {
        EndpointList list = list();
        list.recordListed(started(2_000), 0);
        assertTrue(list.recordListed(entry("w"), 0));
        assertTrue(list.isEmpty());
        assertTrue(list.recordListed(started(2_000), 0));
        assertFalse(list.recordFromPeer(entry("w")));
        assertEquals(list.inDomain(HOBART), ImmutableList.of(started(2_000)));
    }

    /** Guards against a task that runs twice on an endpoint whose entry is overwritten and which cannot restore it. */
    @Test
    public void testInDomainWithDeparted_overwritten() {
        EndpointList list = list();
        list.recordListed(started(2_000), 0);
        list.recordOverwritten(EndpointId.of("w"), 100);
        assertEquals(list.inDomain(HOBART), ImmutableList.of());
        assertEquals(
                list.inDomainWithDeparted(HOBART),
                ImmutableList.of(started(2_000).asDraining()));
        list.recordListed(started(2_000), 200);
        list.replaceAll(ImmutableList.of(entry("w")), 300);
        assertEquals(
                list.inDomainWithDeparted(HOBART),
                ImmutableList.of(started(2_000).asDraining()));
        list.recordListed(started(2_000), 400);
        assertEquals(list.inDomainWithDeparted(HOBART), ImmutableList.of(started(2_000)));
    }

    /** Guards against using an endpoint whose entry, by another writer, names a service that is not configured. */
    @Test
    public void testInDomain_unknownService() {
        EndpointList list = list();
        list.recordListed(entry("w"), 0);
        list.recordListed(entry("foreign", "elsewhere"), 0);
        assertEquals(list.inDomain(HOBART), ImmutableList.of(entry("w")));
        list.setServices(ImmutableSet.of("s", "elsewhere"));
        assertEquals(list.inDomain(HOBART).size(), 2);
    }

    /** Guards against a new holder that starts tasks on a leaving endpoint because its list is outdated. */
    @Test
    public void testIsFresh() {
        EndpointList list = list();
        assertTrue(list.isFresh(0), "no newer list is available");
        list.recordCurrentAsOf(1_000);
        assertTrue(list.isFresh(2_800));
        assertFalse(list.isFresh(2_801));
        list.recordStoreLost();
        assertTrue(list.isFresh(9_000));
    }
}
