package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import org.testng.annotations.Test;

/** Tests a holder whose stops are not answered while its polls are. */
public final class LeaseLimitTest {
    private static final long RUN_MILLIS = 8_000;

    /** Short enough that the job is in time for its client. */
    private static final long ESTIMATE_MILLIS = 2_000;

    /** The time after which a client that has left may have submitted its job again. */
    private static final long CLIENT_ABSENT_MILLIS = 1_300;

    /** The time after the loss of a holder after which an origin offers its jobs to any other. */
    private static final long RUNS_OVER_MILLIS = 1_350;

    /** How long the leases of {@link #holderOfTwoRuns} last after its close: it has polled 94 ms before. */
    private static final long LEASE_LEFT_AFTER_CLOSE_MILLIS = 905;

    /** The time from a claim to the answers to the stops of the runs that no job adopts. */
    private static final long UNCLAIMED_STOPPED_MILLIS = 124;

    private static boolean runs(PlacerFixture fixture, int job) {
        return fixture.endpoint(1).runs().stream().anyMatch(run -> run.task().belongsTo(PlacerFixture.id(job)));
    }

    /** Returns a fixture of one endpoint that runs one task of each of the jobs 1 and 2. */
    private static Placer holderOfTwoRuns(PlacerFixture fixture) {
        Placer placer = fixture.openedPlacer(1);
        placer.offer(PlacerFixture.patientOffer(1, 1, RUN_MILLIS));
        placer.offer(PlacerFixture.patientOffer(2, 1, RUN_MILLIS));
        fixture.timers.advance(500);
        assertEquals(fixture.endpoint(1).running(), 2);
        return placer;
    }

    private static void loseStops(PlacerFixture fixture, long millis) {
        long untilMillis = fixture.timers.nowMillis() + millis;
        fixture.orders.stopFault =
                () -> fixture.timers.nowMillis() < untilMillis ? FakeOrders.Fault.LOST : FakeOrders.Fault.NONE;
    }

    /** Guards against a withdrawn job that runs on, with the lease of other runs, until its client has come again. */
    @Test
    public void testWithdraw_stopsAreLost() {
        PlacerFixture fixture = PlacerFixture.running(1, RUN_MILLIS);
        Placer placer = holderOfTwoRuns(fixture);
        loseStops(fixture, 5_000);
        placer.withdraw(PlacerFixture.ORIGIN, PlacerFixture.id(1));
        fixture.timers.advance(CLIENT_ABSENT_MILLIS);
        assertFalse(runs(fixture, 1));
    }

    /** Guards against runs that lapse because a stop was answered only when repeated. */
    @Test
    public void testWithdraw_otherRunsGoOnAfterSomeLostStops() {
        PlacerFixture fixture = PlacerFixture.running(1, RUN_MILLIS);
        Placer placer = holderOfTwoRuns(fixture);
        loseStops(fixture, 900);
        placer.withdraw(PlacerFixture.ORIGIN, PlacerFixture.id(1));
        fixture.timers.advance(3_000);
        assertFalse(runs(fixture, 1));
        assertTrue(runs(fixture, 2));
        assertEquals(fixture.ledger.starts(), 2);
    }

    /** Guards against runs that are started at an endpoint whose lease is about to lapse. */
    @Test
    public void testWithdraw_nothingStartsWhileStopsAreLost() {
        PlacerFixture fixture = PlacerFixture.running(2, RUN_MILLIS);
        Placer placer = fixture.placerOfEndpoint(1, 1);
        fixture.timers.advance(20);
        placer.offer(PlacerFixture.patientOffer(1, 1, RUN_MILLIS));
        fixture.timers.advance(20);
        loseStops(fixture, 900);
        placer.withdraw(PlacerFixture.ORIGIN, PlacerFixture.id(1));
        fixture.timers.advance(300);
        placer.offer(PlacerFixture.patientOffer(2, 1, RUN_MILLIS));
        fixture.timers.advance(300);
        assertEquals(fixture.ledger.starts(), 1);
        fixture.timers.advance(500);
        placer.offer(PlacerFixture.patientOffer(3, 1, RUN_MILLIS));
        fixture.timers.advance(20);
        assertTrue(runs(fixture, 3));
    }

    /** Guards against a run that no job adopts and that goes on with the lease of the adopted ones. */
    @Test
    public void testClaim_stopsOfUnclaimedRunsAreLost() {
        PlacerFixture fixture = PlacerFixture.running(1, RUN_MILLIS);
        Placer before = holderOfTwoRuns(fixture);
        loseStops(fixture, 5_000);
        before.close();
        Placer next = fixture.placer(2);
        next.offer(PlacerFixture.repeatedOffer(1, 1, ESTIMATE_MILLIS));
        fixture.timers.advance(RUNS_OVER_MILLIS);
        assertFalse(runs(fixture, 2));
    }

    /** Guards against adopted runs that lapse although the runs beside them were stopped in time. */
    @Test
    public void testClaim_adoptedRunsGoOnBesideStoppedOnes() {
        PlacerFixture fixture = PlacerFixture.running(1, RUN_MILLIS);
        Placer before = holderOfTwoRuns(fixture);
        before.close();
        Placer next = fixture.placer(2);
        next.offer(PlacerFixture.repeatedOffer(1, 1, ESTIMATE_MILLIS));
        fixture.timers.advance(RUNS_OVER_MILLIS);
        assertTrue(runs(fixture, 1));
        assertFalse(runs(fixture, 2));
        assertEquals(fixture.ledger.starts(), 2);
    }

    /** Guards against a run that no job adopts and that goes on because each of several holders extends its lease. */
    @Test
    public void testClaim_severalInSeriesWhileStopsAreLost() {
        PlacerFixture fixture = PlacerFixture.running(1, RUN_MILLIS);
        Placer holder = holderOfTwoRuns(fixture);
        loseStops(fixture, 5_000);
        long lostAtMillis = fixture.timers.nowMillis();
        for (int term = 2; term < 5; term++) {
            holder.close();
            holder = fixture.placer(term);
            holder.offer(PlacerFixture.repeatedOffer(1, 1, ESTIMATE_MILLIS));
            fixture.timers.advance(400);
        }
        fixture.timers.advance(lostAtMillis + RUNS_OVER_MILLIS - fixture.timers.nowMillis());
        assertFalse(runs(fixture, 2));
    }

    /** Guards against a withdrawn job whose run goes on with the lease of those that the next holder adopts. */
    @Test
    public void testClaim_stopsOfAWithdrawnJobAreLost() {
        PlacerFixture fixture = PlacerFixture.running(1, RUN_MILLIS);
        Placer before = holderOfTwoRuns(fixture);
        loseStops(fixture, 5_000);
        before.withdraw(PlacerFixture.ORIGIN, PlacerFixture.id(2));
        fixture.timers.advance(400);
        before.close();
        Placer next = fixture.placer(2);
        next.offer(PlacerFixture.repeatedOffer(1, 1, ESTIMATE_MILLIS));
        fixture.timers.advance(CLIENT_ABSENT_MILLIS - 400);
        assertFalse(runs(fixture, 2));
    }

    /** Guards against adopted runs that lapse because the poll in flight does not extend their leases. */
    @Test
    public void testClaim_leasesAreExtendedOnceAllRunsAreAdopted() {
        PlacerFixture fixture = PlacerFixture.running(1, RUN_MILLIS);
        holderOfTwoRuns(fixture).close();
        fixture.timers.advance(LEASE_LEFT_AFTER_CLOSE_MILLIS - 50);
        Placer next = fixture.placer(2);
        fixture.timers.advance(10);
        next.offer(PlacerFixture.repeatedOffer(1, 1, ESTIMATE_MILLIS));
        fixture.timers.advance(10);
        next.offer(PlacerFixture.repeatedOffer(2, 1, ESTIMATE_MILLIS));
        fixture.timers.advance(1_500);
        assertEquals(fixture.endpoint(1).running(), 2);
        assertEquals(fixture.ledger.starts(), 2);
    }

    /** The same, after the stop of a run that no job adopts. */
    @Test
    public void testClaim_leasesAreExtendedOnceOtherRunsAreStopped() {
        PlacerFixture fixture = PlacerFixture.running(1, RUN_MILLIS);
        holderOfTwoRuns(fixture).close();
        fixture.timers.advance(LEASE_LEFT_AFTER_CLOSE_MILLIS - UNCLAIMED_STOPPED_MILLIS - 5);
        Placer next = fixture.placer(2);
        fixture.timers.advance(10);
        next.offer(PlacerFixture.repeatedOffer(1, 1, ESTIMATE_MILLIS));
        fixture.timers.advance(1_500);
        assertTrue(runs(fixture, 1));
        assertFalse(runs(fixture, 2));
        assertEquals(fixture.ledger.starts(), 2);
    }

    /** Guards against adopted runs that lapse because the lost stops of the others are repeated only slowly. */
    @Test
    public void testClaim_adoptedRunsGoOnAfterSomeLostStops() {
        PlacerFixture fixture = PlacerFixture.running(1, RUN_MILLIS);
        holderOfTwoRuns(fixture).close();
        int[] stops = {0};
        fixture.orders.stopFault = () -> stops[0]++ < 2 ? FakeOrders.Fault.LOST : FakeOrders.Fault.NONE;
        fixture.timers.advance(LEASE_LEFT_AFTER_CLOSE_MILLIS - UNCLAIMED_STOPPED_MILLIS - 50);
        Placer next = fixture.placer(2);
        fixture.timers.advance(10);
        next.offer(PlacerFixture.repeatedOffer(1, 1, ESTIMATE_MILLIS));
        fixture.timers.advance(1_500);
        assertTrue(runs(fixture, 1));
        assertFalse(runs(fixture, 2));
        assertEquals(fixture.ledger.starts(), 2);
    }

    /** Guards against a task that starts elsewhere before the lease of its adopted, never extended run has expired. */
    @Test
    public void testClaim_endpointFallsSilentBeforeLeasesAreExtended() {
        PlacerFixture fixture = PlacerFixture.running(2, RUN_MILLIS);
        Placer before = fixture.placerOfEndpoint(1, 1);
        fixture.timers.advance(20);
        before.offer(PlacerFixture.patientOffer(1, 1, RUN_MILLIS));
        before.offer(PlacerFixture.patientOffer(2, 1, RUN_MILLIS));
        fixture.timers.advance(500);
        assertEquals(fixture.endpoint(1).running(), 2);
        before.close();
        Placer next = fixture.placer(2);
        fixture.timers.advance(10);
        next.offer(PlacerFixture.repeatedOffer(1, 1, ESTIMATE_MILLIS));
        fixture.setFault(1, FakeOrders.Fault.LOST);
        fixture.timers.advance(2_000);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
        assertEquals(fixture.ledger.starts(), 3);
        assertEquals(fixture.endpoint(2).running(), 1);
    }
}
