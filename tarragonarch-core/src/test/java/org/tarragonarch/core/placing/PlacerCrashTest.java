package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.task.EndpointEntry;
import org.testng.annotations.Test;

/** Tests a holder whose endpoints crash while they run tasks. */
public final class PlacerCrashTest {
    private static final long RUN_MILLIS = 2_000;
    private static final long LEASE_OVER_MILLIS = 1_500;
    private static final int MAX_CRASHES = 3;

    private static PlacerFixture fixture(int endpoints) {
        return PlacerFixture.running(endpoints, RUN_MILLIS);
    }

    private static Placer opened(PlacerFixture fixture) {
        return fixture.openedPlacer(1);
    }

    private static Placer openedWithTask(PlacerFixture fixture) {
        Placer placer = opened(fixture);
        placer.offer(PlacerFixture.patientOffer(1, 1, RUN_MILLIS));
        fixture.timers.advance(20);
        return placer;
    }

    private static void crash(PlacerFixture fixture, int number) {
        fixture.endpoint(number).crash();
        fixture.timers.advance(20);
    }

    /** Guards against a task that crashes one endpoint after the other until its client disconnects. */
    @Test
    public void testCrash_taskIsAbandonedAfterThreeCrashes() {
        PlacerFixture fixture = fixture(5);
        openedWithTask(fixture);
        for (int crashes = 1; crashes < MAX_CRASHES; crashes++) {
            crash(fixture, fixture.endpointThatRuns());
            assertEquals(fixture.verdicts, ImmutableList.of());
        }
        crash(fixture, fixture.endpointThatRuns());
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 TOO_LATE"));
        assertEquals(fixture.ledger.starts(), MAX_CRASHES);
    }

    /** Guards against a sound task that is abandoned because two of its endpoints crashed by chance. */
    @Test
    public void testCrash_taskIsStartedAgainAfterTwoCrashes() {
        PlacerFixture fixture = fixture(5);
        openedWithTask(fixture);
        crash(fixture, fixture.endpointThatRuns());
        crash(fixture, fixture.endpointThatRuns());
        fixture.timers.advance(RUN_MILLIS);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
    }

    /** Guards against a task that is abandoned because another task on the same endpoint crashes endpoints. */
    @Test
    public void testCrash_tasksOfOneEndpointRestartSeparately() {
        PlacerFixture fixture = fixture(5);
        Placer placer = opened(fixture);
        placer.offer(PlacerFixture.patientOffer(1, 1, RUN_MILLIS));
        placer.offer(PlacerFixture.patientOffer(2, 1, RUN_MILLIS));
        fixture.timers.advance(20);
        int shared = fixture.endpointThatRuns();
        assertEquals(fixture.endpoint(shared).running(), 2);
        crash(fixture, shared);
        for (int crashes = 1; crashes < MAX_CRASHES; crashes++) {
            int first = fixture.endpointThatRuns(PlacerFixture.id(1));
            assertEquals(fixture.endpoint(first).running(), 1);
            crash(fixture, first);
        }
        fixture.timers.advance(RUN_MILLIS);
        assertEquals(fixture.verdicts.size(), 2);
        assertTrue(fixture.verdicts.get(0).endsWith("TOO_LATE"), fixture.verdicts.toString());
        assertTrue(fixture.verdicts.get(1).endsWith("DONE"), fixture.verdicts.toString());
    }

    /** Guards against tasks that are placed beside a task that may crash its endpoint. */
    @Test
    public void testCrash_otherTasksAvoidASuspect() {
        PlacerFixture fixture = fixture(4);
        Placer placer = openedWithTask(fixture);
        crash(fixture, fixture.endpointThatRuns());
        int suspect = fixture.endpointThatRuns();
        placer.offer(PlacerFixture.patientOffer(2, 1, RUN_MILLIS));
        fixture.timers.advance(20);
        assertEquals(fixture.endpoint(suspect).running(), 1);
    }

    /** Guards against a crash that is not counted because the endpoint is silent until it returns with another id. */
    @Test
    public void testCrash_silentEndpointReturnsWithAnotherId() {
        PlacerFixture fixture = fixture(5);
        openedWithTask(fixture);
        int silent = fixture.endpointThatRuns();
        fixture.setFault(silent, FakeOrders.Fault.LOST);
        fixture.endpoint(silent).crash();
        fixture.timers.advance(LEASE_OVER_MILLIS);
        assertEquals(fixture.ledger.starts(), 2);
        fixture.setFault(silent, FakeOrders.Fault.NONE);
        fixture.timers.advance(700);
        crash(fixture, fixture.endpointThatRuns());
        assertEquals(fixture.verdicts, ImmutableList.of());
        crash(fixture, fixture.endpointThatRuns());
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 TOO_LATE"));
        assertEquals(fixture.ledger.starts(), MAX_CRASHES);
    }

    /** Guards against a task that is abandoned because its endpoints were replaced as planned. */
    @Test
    public void testCrash_plannedReplacementDoesNotCount() {
        PlacerFixture fixture = fixture(5);
        Placer placer = openedWithTask(fixture);
        for (int replaced = 0; replaced < MAX_CRASHES; replaced++) {
            int number = fixture.endpointThatRuns();
            EndpointEntry entry = fixture.entries.get(number - 1);
            fixture.entries.set(number - 1, entry.asDraining());
            placer.update(PlacerFixture.SHARD, fixture.entries);
            crash(fixture, number);
        }
        fixture.timers.advance(RUN_MILLIS);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
    }

    /** Guards against a job that counts as failed because its endpoints are silent; it is given up after four runs. */
    @Test
    public void testCrash_taskIsGivenUpAfterFourLostRuns() {
        PlacerFixture fixture = fixture(6);
        openedWithTask(fixture);
        for (int vanished = 0; vanished < 4; vanished++) {
            int number = fixture.endpointThatRuns();
            fixture.setFault(number, FakeOrders.Fault.LOST);
            fixture.endpoint(number).crash();
            fixture.timers.advance(LEASE_OVER_MILLIS);
        }
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 TOO_LATE"));
        assertEquals(fixture.ledger.starts(), 4);
    }

    /** Guards against a task that crashes as many endpoints again each time its client submits its job. */
    @Test
    public void testOffer_abandonedJobIsSubmittedAgain() {
        PlacerFixture fixture = fixture(6);
        Placer placer = openedWithTask(fixture);
        while (fixture.verdicts.isEmpty()) {
            crash(fixture, fixture.endpointThatRuns());
        }
        int starts = fixture.ledger.starts();
        placer.offer(PlacerFixture.patientOffer(1, 1, RUN_MILLIS));
        fixture.timers.advance(20);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 TOO_LATE", "origin-1 1 TOO_LATE"));
        assertEquals(fixture.ledger.starts(), starts);
    }

    /** Guards against crashes that are forgotten because the client left before the endpoint was found to be back. */
    @Test
    public void testOffer_crashIsFoundAfterItsClientHasLeft() {
        PlacerFixture fixture = fixture(7);
        Placer placer = openedWithTask(fixture);
        for (int crashes = 0; crashes < MAX_CRASHES; crashes++) {
            int number = fixture.endpointThatRuns();
            fixture.setFault(number, FakeOrders.Fault.LOST);
            fixture.endpoint(number).crash();
            fixture.timers.advance(LEASE_OVER_MILLIS);
            placer.withdraw(PlacerFixture.ORIGIN, PlacerFixture.id(1));
            fixture.setFault(number, FakeOrders.Fault.NONE);
            fixture.timers.advance(700);
            placer.offer(PlacerFixture.patientOffer(1, 1, RUN_MILLIS));
            fixture.timers.advance(20);
        }
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 TOO_LATE"));
        assertEquals(fixture.ledger.starts(), 2 * MAX_CRASHES);
    }
}
