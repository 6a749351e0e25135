package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.OptionalLong;
import org.testng.annotations.Test;

public final class EndpointClockTest {
    private static final long OFFSET_MILLIS = 70_000;

    private final EndpointClock clock = new EndpointClock();

    private long update(long endpointMillis, long sentAtMillis, long nowMillis) {
        return clock.update(OptionalLong.of(endpointMillis), sentAtMillis, nowMillis);
    }

    @Test
    public void testUpdate_noClockValue() {
        EndpointClockTest test = new EndpointClockTest();
        assertEquals(test.clock.update(OptionalLong.empty(), 0, 10), 0);
        assertFalse(test.clock.isKnown());
    }

    @Test
    public void testUpdate_firstAnswer() {
        assertEquals(new EndpointClockTest().update(OFFSET_MILLIS, 0, 10), 0);
    }

    /** Guards against a slow call that passes for a suspension of this node. */
    @Test
    public void testUpdate_slowCalls() {
        EndpointClockTest test = new EndpointClockTest();
        test.update(OFFSET_MILLIS + 1, 0, 400);
        assertEquals(test.update(OFFSET_MILLIS + 999, 500, 1_000), 0);
        assertEquals(test.update(OFFSET_MILLIS + 1_001, 1_000, 1_600), 0);
    }

    /** Guards against a suspension that goes unnoticed because this node's clock stood still too. */
    @Test
    public void testUpdate_clockOfThisNodeStoodStill() {
        EndpointClockTest test = new EndpointClockTest();
        test.update(OFFSET_MILLIS + 5, 0, 10);
        assertEquals(test.update(OFFSET_MILLIS + 920, 10, 20), 895);
    }

    /** Guards against an endpoint with a slow clock that hides a suspension later on. */
    @Test
    public void testUpdate_slowClockOfEndpoint() {
        EndpointClockTest test = new EndpointClockTest();
        test.update(OFFSET_MILLIS, 0, 0);
        assertEquals(test.update(OFFSET_MILLIS + 9_800, 10_000, 10_000), 0);
        assertEquals(test.update(OFFSET_MILLIS + 10_300, 10_010, 10_010), 490);
    }

    /** Guards against an endpoint that passes for restarted because two calls overlap within a millisecond. */
    @Test
    public void testHasStartedAnew_callSentInTheMillisecondOfTheAnswer() {
        EndpointClockTest test = new EndpointClockTest();
        test.update(OFFSET_MILLIS + 10, 8, 10);
        assertFalse(test.clock.hasStartedAnew(OptionalLong.of(OFFSET_MILLIS + 9), 10));
        assertFalse(test.clock.hasStartedAnew(OptionalLong.of(OFFSET_MILLIS + 9), 11));
    }

    @Test
    public void testHasStartedAnew_clockIsFarBack() {
        EndpointClockTest test = new EndpointClockTest();
        test.update(OFFSET_MILLIS, 0, 10);
        assertTrue(test.clock.hasStartedAnew(OptionalLong.of(5), 11));
    }

    /** Guards against a lease that is too long because the last answer of an endpoint with a slow clock is old. */
    @Test
    public void testLowestAt_slowClock() {
        EndpointClockTest test = new EndpointClockTest();
        test.update(OFFSET_MILLIS, 0, 10);
        assertEquals(test.clock.lowestAt(10), OFFSET_MILLIS);
        assertEquals(test.clock.lowestAt(20_010), OFFSET_MILLIS + 19_600);
    }
}
