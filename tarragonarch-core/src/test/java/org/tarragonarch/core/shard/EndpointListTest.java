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

/** The list of endpoints through outages of the store. */
public final class EndpointListTest {
    private static final FailureDomain HOBART = FailureDomain.of("hobart");

    private static EndpointList list() {
        EndpointList list = new EndpointList();
        list.served(ImmutableSet.of("s"));
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
    public void testUnlisted_calm() {
        EndpointList list = list();
        list.listed(entry("w"));
        assertTrue(list.unlisted(EndpointId.of("w"), 100));
        assertTrue(list.isEmpty());
    }

    /** Guards against endpoints dropped since their entries lapsed while the store was away. */
    @Test
    public void testUnlisted_afterOutage() {
        EndpointList list = list();
        list.listed(entry("back"));
        list.listed(entry("gone"));
        list.storeLost();
        list.storeBack(10_000);
        assertFalse(list.unlisted(EndpointId.of("back"), 10_010));
        assertFalse(list.unlisted(EndpointId.of("gone"), 10_010));
        list.listed(entry("back"));
        assertFalse(list.expire(12_000));
        assertEquals(list.of(HOBART).size(), 2);
        assertTrue(list.expire(12_600));
        assertEquals(list.of(HOBART), ImmutableList.of(entry("back")));
    }

    /** Guards against a holder that does not read an endpoint which has lost its entry and runs on. */
    @Test
    public void testWithDeparted_removedEntry() {
        EndpointList list = list();
        list.listed(entry("w"));
        list.unlisted(EndpointId.of("w"), 100);
        assertEquals(list.of(HOBART), ImmutableList.of());
        assertEquals(list.withDeparted(HOBART), ImmutableList.of(entry("w").asDraining()));
        assertFalse(list.expire(15_099));
        assertTrue(list.expire(15_100));
        assertEquals(list.withDeparted(HOBART), ImmutableList.of());
    }

    /** Guards against a holder that calls endpoints of a service that nobody knows. */
    @Test
    public void testWithDeparted_unknownService() {
        EndpointList list = list();
        list.listed(entry("w", "unknown"));
        list.unlisted(EndpointId.of("w"), 100);
        assertEquals(list.withDeparted(HOBART), ImmutableList.of());
    }

    /** Guards against an endpoint that is back and gets nothing, or is held twice. */
    @Test
    public void testWithDeparted_listedAgain() {
        EndpointList list = list();
        list.listed(entry("w"));
        list.unlisted(EndpointId.of("w"), 100);
        list.listed(entry("w"));
        assertEquals(list.withDeparted(HOBART), ImmutableList.of(entry("w")));
    }

    /** Guards against jobs that wait for an endpoint which has left as it had announced. */
    @Test
    public void testWithDeparted_announced() {
        EndpointList list = list();
        list.listed(entry("w").asDraining());
        list.unlisted(EndpointId.of("w"), 100);
        assertEquals(list.withDeparted(HOBART), ImmutableList.of());
    }

    @Test
    public void testListed_sameAgainIsNoChange() {
        EndpointList list = new EndpointList();
        assertTrue(list.listed(entry("w")));
        assertFalse(list.listed(entry("w")));
    }

    private static EndpointEntry started(long startedMillis) {
        return entry("w").withIncarnation(new EndpointIncarnation(EndpointId.of("w"), startedMillis));
    }

    /** Guards against an entry of an earlier incarnation that is read, or given by a peer, after a later one. */
    @Test
    public void testListed_earlierIncarnation() {
        EndpointList list = list();
        assertTrue(list.listed(started(2_000)));
        assertFalse(list.listed(started(1_000)));
        assertFalse(list.given(started(1_000)));
        assertFalse(list.replaced(ImmutableList.of(started(1_000)), 100));
        assertEquals(list.of(HOBART), ImmutableList.of(started(2_000)));
        assertTrue(list.listed(started(3_000)));
        assertEquals(list.of(HOBART), ImmutableList.of(started(3_000)));
    }

    /** Guards against an entry of an earlier incarnation that is read while the later one is not listed. */
    @Test
    public void testListed_earlierIncarnationWhileNothingIsListed() {
        EndpointList list = list();
        list.listed(started(2_000));
        list.unlisted(EndpointId.of("w"), 100);
        assertFalse(list.listed(started(1_000)));
        assertTrue(list.isEmpty());
        assertTrue(list.listed(started(2_000)));
    }

    /** Guards against an entry by another writer, who does not know the start, that is taken for the endpoint's own. */
    @Test
    public void testListed_withoutTheStartThatWasKnown() {
        EndpointList list = list();
        list.listed(started(2_000));
        assertTrue(list.listed(entry("w")));
        assertTrue(list.isEmpty());
        assertTrue(list.listed(started(2_000)));
        assertFalse(list.given(entry("w")));
        assertEquals(list.of(HOBART), ImmutableList.of(started(2_000)));
    }

    /** Another program's entry names a service that nobody configured; it gets no orders until somebody does. */
    @Test
    public void testOf_serviceThatIsNotThere() {
        EndpointList list = list();
        list.listed(entry("w"));
        list.listed(entry("foreign", "elsewhere"));
        assertEquals(list.of(HOBART), ImmutableList.of(entry("w")));
        list.served(ImmutableSet.of("s", "elsewhere"));
        assertEquals(list.of(HOBART).size(), 2);
    }

    /** Guards against tasks started on a leaving endpoint by a new holder with an old list. */
    @Test
    public void testIsFresh() {
        EndpointList list = list();
        assertTrue(list.isFresh(0), "nothing else can be had");
        list.currentAsOf(1_000);
        assertTrue(list.isFresh(2_800));
        assertFalse(list.isFresh(2_801));
        list.storeLost();
        assertTrue(list.isFresh(9_000));
    }
}
