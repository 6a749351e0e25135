package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import org.testng.annotations.Test;

/** Tests the leases of an endpoint that was idle for long, and whose clock may be slow. */
public final class SlowClockLeaseTest {
    /** As slow as an endpoint's clock may be. */
    private static final double SLOW_RATE = 0.98;

    private static final long RUN_MILLIS = 400;
    private static final long CUT_MILLIS = 1_200;

    private static void assertOneRunAtATime(double rate, long idleMillis) {
        PlacerFixture fixture = PlacerFixture.running(2, RUN_MILLIS);
        fixture.endpoint(1).clock.setRate(rate);
        Placer placer = fixture.openedPlacer(1);
        fixture.timers.advance(idleMillis);
        fixture.orders.delayMillis = CUT_MILLIS;
        fixture.setFault(1, FakeOrders.Fault.DELAYED);
        placer.offer(PlacerFixture.patientOffer(1, 4, RUN_MILLIS));
        fixture.timers.advance(CUT_MILLIS + RUN_MILLIS);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
        assertEquals(fixture.ledger.starts(), 4);
    }

    /** Guards against a start that is carried out late, after the task was started elsewhere. */
    @Test
    public void testStart_carriedOutLateAfterIdleTime() {
        assertOneRunAtATime(SLOW_RATE, 20_000);
    }

    /** The same, after a time so short that the clock was not read since. */
    @Test
    public void testStart_carriedOutLateBeforeClockIsReadAgain() {
        assertOneRunAtATime(SLOW_RATE, 9_500);
    }

    /** The same, at an endpoint that cannot be reached for longer than its clock is valid. */
    @Test
    public void testStart_carriedOutLateAfterPollsAreLost() {
        PlacerFixture fixture = PlacerFixture.running(2, RUN_MILLIS);
        fixture.endpoint(1).clock.setRate(SLOW_RATE);
        Placer placer = fixture.openedPlacer(1);
        fixture.orders.pollFault = () -> FakeOrders.Fault.LOST;
        fixture.timers.advance(30_000);
        fixture.orders.pollFault = () -> FakeOrders.Fault.NONE;
        fixture.orders.delayMillis = CUT_MILLIS;
        fixture.setFault(1, FakeOrders.Fault.DELAYED);
        placer.offer(PlacerFixture.patientOffer(1, 4, RUN_MILLIS));
        fixture.timers.advance(CUT_MILLIS + 2 * RUN_MILLIS);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against a long idle time that leaves the first runs after it a lease too short to be renewed. */
    @Test
    public void testStart_leaseAfterLongIdleTime() {
        PlacerFixture fixture = PlacerFixture.running(1, 2 * RUN_MILLIS);
        Placer placer = fixture.openedPlacer(1);
        fixture.timers.advance(120_000);
        placer.offer(PlacerFixture.patientOffer(1, 2, RUN_MILLIS));
        fixture.orders.pollFault = () -> FakeOrders.Fault.LOST;
        fixture.timers.advance(2 * RUN_MILLIS - 10);
        assertEquals(fixture.endpoint(1).running(), 2);
    }
}
