package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.EndpointEntry;
import org.testng.annotations.Test;

/** Tests a holder whose endpoints restart under the same ids. */
public final class PlacerRestartTest {
    private static final long LONG_RUN_MILLIS = 2_000;
    private static final long SECOND_START_MILLIS = PlacerFixture.FIRST_START_MILLIS + 1;

    private static PlacerFixture fixture(int endpoints, long runMillis) {
        PlacerFixture fixture = new PlacerFixture(endpoints).reportingStarts();
        fixture.orders.endpoints.values().forEach(endpoint -> endpoint.runMillis = runMillis);
        return fixture;
    }

    private static Placer opened(PlacerFixture fixture) {
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        return placer;
    }

    private static void assertUnbroken(PlacerFixture fixture) {
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against ends that are dropped because the new incarnation numbers them from 1 again. */
    @Test
    public void testRestart_endsBelowTheKnownNumberAreProcessed() {
        PlacerFixture fixture = fixture(1, 60);
        Placer placer = opened(fixture);
        for (int job = 1; job <= 3; job++) {
            placer.offer(PlacerFixture.offer(job, 2));
            fixture.timers.advance(100);
        }
        fixture.endpoint(1).restart();
        placer.offer(PlacerFixture.offer(4, 2));
        fixture.timers.advance(100);
        assertEquals(fixture.verdicts.get(3), "origin-1 4 DONE");
        assertEquals(fixture.ledger.starts(), 8);
        assertUnbroken(fixture);
    }

    /** Guards against a restart that is detected only through the store, which may be unavailable. */
    @Test
    public void testRestart_detectedFromListsAlone() {
        PlacerFixture fixture = fixture(2, LONG_RUN_MILLIS);
        Placer placer = opened(fixture);
        placer.offer(PlacerFixture.patientOffer(1, 1, LONG_RUN_MILLIS));
        fixture.timers.advance(20);
        int first = fixture.endpoint(1).running() > 0 ? 1 : 2;
        fixture.endpoint(first).restart();
        fixture.timers.advance(20);
        assertEquals(fixture.badEnds, ImmutableList.of(EndKind.CRASHED));
        assertEquals(fixture.restarted, ImmutableList.of("w-" + first + "@" + SECOND_START_MILLIS));
        assertEquals(fixture.endpoint(1).running() + fixture.endpoint(2).running(), 1);
        fixture.timers.advance(LONG_RUN_MILLIS);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertUnbroken(fixture);
    }

    /** Guards against a list of the earlier incarnation that is processed after the store has reported the new one. */
    @Test
    public void testRestart_listOfTheEarlierIncarnationArrivesLate() {
        PlacerFixture fixture = fixture(2, LONG_RUN_MILLIS);
        Placer placer = opened(fixture);
        placer.offer(PlacerFixture.patientOffer(1, 1, LONG_RUN_MILLIS));
        fixture.timers.advance(5);
        int first = fixture.endpoint(1).running() > 0 ? 1 : 2;
        fixture.orders.listMillis = 30;
        fixture.timers.advance(99);
        fixture.orders.listMillis = 1;
        fixture.endpoint(first).restart();
        fixture.replaceIncarnation(first, SECOND_START_MILLIS);
        placer.update(PlacerFixture.SHARD, fixture.entries);
        fixture.timers.advance(300);
        assertEquals(fixture.restarted, ImmutableList.of("w-" + first + "@" + SECOND_START_MILLIS));
        assertEquals(fixture.badEnds, ImmutableList.of(EndKind.CRASHED));
        assertEquals(fixture.ledger.starts(), 2);
        fixture.timers.advance(LONG_RUN_MILLIS);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertUnbroken(fixture);
    }

    /** Guards against an entry of the earlier incarnation that ends the runs of the new one, or blocks new starts. */
    @Test
    public void testRestart_staleEntryAfterANewerList() {
        PlacerFixture fixture = fixture(1, LONG_RUN_MILLIS);
        Placer placer = opened(fixture);
        placer.offer(PlacerFixture.patientOffer(1, 1, LONG_RUN_MILLIS));
        fixture.timers.advance(20);
        fixture.endpoint(1).restart();
        fixture.timers.advance(20);
        assertEquals(fixture.endpoint(1).running(), 1);
        placer.update(PlacerFixture.SHARD, fixture.entries);
        fixture.timers.advance(20);
        fixture.replaceIncarnation(1, SECOND_START_MILLIS);
        placer.update(PlacerFixture.SHARD, fixture.entries);
        fixture.timers.advance(LONG_RUN_MILLIS);
        assertEquals(fixture.restarted.size(), 1);
        assertEquals(fixture.badEnds, ImmutableList.of(EndKind.CRASHED));
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertUnbroken(fixture);
    }

    /** Guards against a drain of the failure domain that is ignored because its entry is of an earlier incarnation. */
    @Test
    public void testRestart_staleEntryOfADrainedDomain() {
        PlacerFixture fixture = fixture(1, LONG_RUN_MILLIS);
        Placer placer = opened(fixture);
        placer.offer(PlacerFixture.patientOffer(1, 1, LONG_RUN_MILLIS));
        fixture.timers.advance(20);
        fixture.endpoint(1).restart();
        fixture.timers.advance(20);
        placer.update(
                PlacerFixture.SHARD,
                fixture.entries.stream().map(EndpointEntry::asDraining).toList());
        placer.offer(PlacerFixture.offer(2, 1));
        fixture.timers.advance(20);
        assertEquals(fixture.endpoint(1).running(), 1);
    }

    /** Guards against a second start of a run whose order reached the new incarnation before its detection. */
    @Test
    public void testRestart_runOrderedBeforeDetectionContinues() {
        PlacerFixture fixture = fixture(2, 300);
        Placer placer = opened(fixture);
        fixture.endpoint(1).restart();
        fixture.endpoint(2).restart();
        fixture.orders.startFault = () -> FakeOrders.Fault.ANSWER_LOST;
        placer.offer(PlacerFixture.patientOffer(1, 2, 300));
        fixture.timers.advance(500);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertEquals(fixture.ledger.starts(), 2);
        assertUnbroken(fixture);
    }

    /** Returns a fixture of two endpoints and one job whose first start order is delayed. */
    private static PlacerFixture withLateStart() {
        PlacerFixture fixture = fixture(2, 5_000);
        Placer placer = opened(fixture);
        int[] starts = {0};
        fixture.orders.startFault = () -> starts[0]++ == 0 ? FakeOrders.Fault.DELAYED : FakeOrders.Fault.NONE;
        placer.offer(PlacerFixture.patientOffer(1, 1, 5_000));
        return fixture;
    }

    /**
     * Guards against an order that was sent to the earlier incarnation and is carried out by the new one: the expiry in
     * the order refers to the earlier clock, and the new clock starts lower.
     */
    @Test
    public void testRestart_betweenOrderAndAnswer() {
        PlacerFixture fixture = withLateStart();
        fixture.timers.advance(10);
        fixture.endpoint(1).restart();
        fixture.endpoint(2).restart();
        fixture.timers.advance(9_000);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertEquals(fixture.ledger.starts(), 1);
        assertUnbroken(fixture);
    }

    /** Guards against a delayed order whose run was stopped on the earlier incarnation, but not on the new one. */
    @Test
    public void testRestart_afterTheUnansweredOrderWasSettled() {
        PlacerFixture fixture = withLateStart();
        fixture.timers.advance(1_000);
        assertEquals(fixture.ledger.starts(), 1);
        fixture.endpoint(1).restart();
        fixture.endpoint(2).restart();
        fixture.timers.advance(15_000);
        assertUnbroken(fixture);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
    }

    /** Guards against a delayed order that an endpoint carries out after it was unlisted, restarted and relisted. */
    @Test
    public void testRestart_endpointUnlistedBeforeRestart() {
        PlacerFixture fixture = fixture(1, 5_000);
        Placer placer = opened(fixture);
        fixture.orders.startFault = () -> FakeOrders.Fault.DELAYED;
        placer.offer(PlacerFixture.offer(1, 1));
        fixture.timers.advance(10);
        fixture.setFault(1, FakeOrders.Fault.LOST);
        fixture.timers.advance(1_500);
        placer.update(PlacerFixture.SHARD, ImmutableList.of());
        fixture.endpoint(1).restart();
        fixture.setFault(1, FakeOrders.Fault.NONE);
        fixture.replaceIncarnation(1, SECOND_START_MILLIS);
        placer.update(PlacerFixture.SHARD, fixture.entries);
        fixture.timers.advance(4_000);
        assertEquals(fixture.ledger.starts(), 0);
    }

    /** Guards against a wait for runs of an earlier holder whose endpoint has restarted. */
    @Test
    public void testRestart_duringHandOver() {
        PlacerFixture fixture = fixture(2, 900);
        Placer before = opened(fixture);
        before.offer(PlacerFixture.offer(1, 4, 900, PlacerFixture.ORIGIN, false));
        fixture.timers.advance(300);
        before.close();
        fixture.verdicts.clear();
        Placer next = fixture.placer(2);
        fixture.timers.advance(10);
        fixture.endpoint(1).restart();
        fixture.replaceIncarnation(1, SECOND_START_MILLIS);
        next.update(PlacerFixture.SHARD, fixture.entries);
        next.offer(PlacerFixture.offer(1, 4, 900, PlacerFixture.ORIGIN, true));
        fixture.timers.advance(1_000);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertEquals(fixture.ledger.starts(), 6);
        assertUnbroken(fixture);
    }

    /** Guards against an ejection that outlasts the incarnation whose runs failed. */
    @Test
    public void testRestart_clearsHealth() {
        PlacerFixture fixture = fixture(1, 20);
        fixture.endpoint(1).outcome = EndKind.FAILED;
        Placer placer = opened(fixture);
        placer.offer(PlacerFixture.offer(1, 2));
        fixture.timers.advance(200);
        fixture.endpoint(1).outcome = EndKind.DONE;
        fixture.endpoint(1).restart();
        fixture.replaceIncarnation(1, SECOND_START_MILLIS);
        placer.update(PlacerFixture.SHARD, fixture.entries);
        fixture.timers.advance(10);
        placer.offer(PlacerFixture.offer(2, 2));
        fixture.timers.advance(50);
        assertTrue(fixture.verdicts.contains("origin-1 2 DONE"), fixture.verdicts.toString());
    }

    /** Guards against ends that are dropped when endpoints begin to report start times and an entry is the first to. */
    @Test
    public void testRestart_startTimeFirstKnownFromEntry() {
        PlacerFixture fixture = new PlacerFixture(1);
        Placer placer = opened(fixture);
        for (int job = 1; job <= 3; job++) {
            placer.offer(PlacerFixture.offer(job, 2));
            fixture.timers.advance(100);
        }
        fixture.timers.advance(1_000);
        fixture.endpoint(1).restart();
        fixture.endpoint(1).reportStart(PlacerFixture.FIRST_START_MILLIS);
        fixture.replaceIncarnation(1, PlacerFixture.FIRST_START_MILLIS);
        placer.update(PlacerFixture.SHARD, fixture.entries);
        placer.offer(PlacerFixture.offer(4, 2));
        fixture.timers.advance(100);
        assertEquals(fixture.verdicts.get(3), "origin-1 4 DONE");
        assertEquals(fixture.badEnds, ImmutableList.of());
        assertUnbroken(fixture);
    }

    /** Guards against a delayed order that a new incarnation carries out which does not tell its start time. */
    @Test
    public void testRestart_startNotTold() {
        PlacerFixture fixture = PlacerFixture.running(2, 5_000);
        Placer placer = opened(fixture);
        int[] starts = {0};
        fixture.orders.startFault = () -> starts[0]++ == 0 ? FakeOrders.Fault.DELAYED : FakeOrders.Fault.NONE;
        placer.offer(PlacerFixture.patientOffer(1, 1, 5_000));
        fixture.timers.advance(1_000);
        assertEquals(fixture.ledger.starts(), 1);
        fixture.endpoint(1).restartWithSameStart();
        fixture.endpoint(2).restartWithSameStart();
        fixture.timers.advance(15_000);
        assertUnbroken(fixture);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
    }

    /** Guards against a delayed order that a new incarnation carries out because no list of it has arrived yet. */
    @Test
    public void testRestart_knownByItsEntryOnly() {
        PlacerFixture fixture = fixture(1, 5_000);
        Placer placer = opened(fixture);
        fixture.orders.startFault = () -> FakeOrders.Fault.DELAYED;
        placer.offer(PlacerFixture.patientOffer(1, 1, 5_000));
        placer.withdraw(PlacerFixture.ORIGIN, PlacerFixture.id(1));
        fixture.timers.advance(500);
        fixture.orders.pollFault = () -> FakeOrders.Fault.LOST;
        fixture.endpoint(1).restart();
        fixture.replaceIncarnation(1, SECOND_START_MILLIS);
        placer.update(PlacerFixture.SHARD, fixture.entries);
        fixture.timers.advance(4_000);
        assertEquals(fixture.ledger.starts(), 0);
    }
}
