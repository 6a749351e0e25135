package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

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
}
