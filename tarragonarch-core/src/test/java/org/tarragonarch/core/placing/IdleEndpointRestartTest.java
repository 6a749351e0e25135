package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.task.EndpointEntry;
import org.testng.annotations.Test;

/** Tests holders of an endpoint that restarts under its id while they have no run there. */
public final class IdleEndpointRestartTest {
    private static final long LONG_RUN_MILLIS = 3_000;

    /** An idle time that is longer than a poll of an idle endpoint waits. */
    private static final long IDLE_MILLIS = 2_500;

    /** The time after which a poll has listed a new run. */
    private static final long LISTED_MILLIS = 150;

    private static PlacerFixture fixture(long runMillis) {
        PlacerFixture fixture = new PlacerFixture(1).reportingStarts();
        fixture.setRunMillis(runMillis);
        return fixture;
    }

    /** Guards against a start by the list of an earlier incarnation, while the current one runs another holder's. */
    @Test
    public void testStart_idleEndpointHasForgottenTheToken() {
        PlacerFixture fixture = fixture(LONG_RUN_MILLIS);
        Placer earlier = fixture.openedPlacer(1);
        Placer later = fixture.openedPlacer(2);
        fixture.timers.advance(IDLE_MILLIS);
        fixture.endpoint(1).restart();
        fixture.timers.advance(20);
        earlier.offer(PlacerFixture.patientOffer(1, 2, LONG_RUN_MILLIS));
        fixture.timers.advance(500);
        later.offer(PlacerFixture.patientOffer(2, 2, LONG_RUN_MILLIS));
        fixture.timers.advance(20);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
        assertEquals(fixture.endpoint(1).running(), 2);
    }

    /** Guards against a token that only the earlier incarnation has received, with a call that waited there. */
    @Test
    public void testStart_tokenOfAWaitingCallIsForgotten() {
        PlacerFixture fixture = fixture(LONG_RUN_MILLIS);
        Placer earlier = fixture.openedPlacer(1);
        Placer later = fixture.openedPlacer(2);
        later.offer(PlacerFixture.patientOffer(1, 1, LONG_RUN_MILLIS));
        fixture.timers.advance(LISTED_MILLIS);
        later.update(
                PlacerFixture.SHARD,
                fixture.entries.stream().map(EndpointEntry::asDraining).toList());
        fixture.endpoint(1).restart();
        fixture.timers.advance(10);
        earlier.offer(PlacerFixture.patientOffer(2, 2, LONG_RUN_MILLIS));
        fixture.timers.advance(20);
        later.update(PlacerFixture.SHARD, fixture.entries);
        later.offer(PlacerFixture.patientOffer(3, 2, LONG_RUN_MILLIS));
        fixture.timers.advance(20);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
        assertEquals(fixture.fenced, 1);
    }

    /** Guards against a lapsed lease, or a late end, of a run that starts while a poll waits at the idle endpoint. */
    @Test
    public void testStart_whileAPollWaits() {
        for (long runMillis : new long[] {60, LONG_RUN_MILLIS}) {
            PlacerFixture fixture = fixture(runMillis);
            Placer placer = fixture.openedPlacer(1);
            fixture.timers.advance(IDLE_MILLIS);
            long offeredAt = fixture.timers.nowMillis();
            placer.offer(PlacerFixture.patientOffer(1, 1, runMillis));
            fixture.timers.advance(runMillis + 100);
            assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
            long took = fixture.settled.values().iterator().next().atMillis() - offeredAt;
            assertTrue(took <= runMillis + 3, "took " + took);
            assertEquals(fixture.ledger.starts(), 1);
        }
    }

    /** Guards against polls of idle endpoints that never restart under their ids, and many of those that may. */
    @Test
    public void testPolls_idleEndpoint() {
        assertEquals(pollsInTenSeconds(new PlacerFixture(1)), 1);
        int polls = pollsInTenSeconds(fixture(60));
        assertTrue(polls <= 6, polls + " polls");
    }

    private static int pollsInTenSeconds(PlacerFixture fixture) {
        int[] polls = {0};
        fixture.orders.pollFault = () -> {
            polls[0]++;
            return FakeOrders.Fault.NONE;
        };
        fixture.placer(1);
        fixture.timers.advance(10_000);
        return polls[0];
    }
}
