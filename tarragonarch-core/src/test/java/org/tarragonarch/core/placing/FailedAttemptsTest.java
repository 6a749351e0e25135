package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.task.EndKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a job fails by runs that ended as failed, and by nothing else. */
public final class FailedAttemptsTest {
    private static final long RUN_MILLIS = 2_000;
    private static final long LEASE_OVER_MILLIS = 1_500;
    private static final ImmutableList<String> FAILED = ImmutableList.of("origin-1 1 FAILED");

    /** Returns the numbers of attempts that queues may have. */
    @DataProvider
    public Object[][] attempts() {
        return new Object[][] {{1}, {2}, {3}, {4}};
    }

    private static PlacerFixture withTask(int attempts) {
        PlacerFixture fixture = PlacerFixture.running(8, RUN_MILLIS);
        fixture.openedPlacer(1).offer(PlacerFixture.patientOffer(1, 1, RUN_MILLIS, attempts));
        fixture.timers.advance(20);
        return fixture;
    }

    private static void crash(PlacerFixture fixture) {
        fixture.endpoint(fixture.endpointThatRuns()).crash();
        fixture.timers.advance(20);
    }

    private static void restart(PlacerFixture fixture) {
        fixture.timers.advance(200);
        fixture.endpoint(fixture.endpointThatRuns()).restart();
        fixture.timers.advance(200);
    }

    private static void crashInSilence(PlacerFixture fixture) {
        int number = fixture.endpointThatRuns();
        fixture.setFault(number, FakeOrders.Fault.LOST);
        fixture.endpoint(number).crash();
        fixture.timers.advance(LEASE_OVER_MILLIS);
        fixture.setFault(number, FakeOrders.Fault.NONE);
        fixture.timers.advance(700);
    }

    private static void fail(PlacerFixture fixture) {
        int number = fixture.endpointThatRuns();
        fixture.endpoint(number).outcome = EndKind.FAILED;
        fixture.timers.advance(RUN_MILLIS + 20);
        fixture.endpoint(number).outcome = EndKind.DONE;
    }

    private static void assertNotFailed(PlacerFixture fixture) {
        assertFalse(fixture.verdicts.contains("origin-1 1 FAILED"), fixture.verdicts.toString());
    }

    /** Guards against a job that counts as failed because endpoints crashed under a sound task. */
    @Test(dataProvider = "attempts")
    public void testCrash_countsAsNoAttempt(int attempts) {
        PlacerFixture fixture = withTask(attempts);
        crash(fixture);
        crash(fixture);
        assertNotFailed(fixture);
    }

    /** Guards against a job that counts as failed because endpoints restarted under their ids below a sound task. */
    @Test(dataProvider = "attempts")
    public void testRestart_countsAsNoAttempt(int attempts) {
        PlacerFixture fixture = withTask(attempts);
        restart(fixture);
        restart(fixture);
        assertNotFailed(fixture);
    }

    /** Guards against a job that counts as failed because crashes of silent endpoints are confirmed later. */
    @Test(dataProvider = "attempts")
    public void testCrash_confirmedAfterLapseCountsAsNoAttempt(int attempts) {
        PlacerFixture fixture = withTask(attempts);
        crashInSilence(fixture);
        crashInSilence(fixture);
        assertNotFailed(fixture);
    }

    /** Guards against crashes that use up attempts beside runs that failed. */
    @Test(dataProvider = "attempts")
    public void testCrash_addsNothingToFailedRuns(int attempts) {
        PlacerFixture fixture = withTask(attempts);
        for (int failed = 1; failed < attempts; failed++) {
            fail(fixture);
        }
        crash(fixture);
        crash(fixture);
        assertNotFailed(fixture);
    }

    /** Guards against retries beyond the attempts of the queue, and jobs that fail before these are used up. */
    @Test(dataProvider = "attempts")
    public void testFailure_jobFailsWithTheLastAttempt(int attempts) {
        PlacerFixture fixture = withTask(attempts);
        for (int failed = 1; failed <= attempts; failed++) {
            assertEquals(fixture.verdicts, ImmutableList.of());
            fail(fixture);
        }
        assertEquals(fixture.verdicts, FAILED);
        assertEquals(fixture.ledger.starts(), attempts);
    }

    /** Guards against retries beyond the attempts of the queue after a crash. */
    @Test(dataProvider = "attempts")
    public void testFailure_jobFailsWithTheLastAttemptAfterACrash(int attempts) {
        PlacerFixture fixture = withTask(attempts);
        crash(fixture);
        for (int failed = 1; failed <= attempts; failed++) {
            assertEquals(fixture.verdicts, ImmutableList.of());
            fail(fixture);
        }
        assertEquals(fixture.verdicts, FAILED);
        assertEquals(fixture.ledger.starts(), attempts + 1);
    }

    /** Guards against a failed run that counts as no attempt, because its end is read after its lease has expired. */
    @Test
    public void testFailure_endIsReadAfterTheRunHasLapsed() {
        PlacerFixture fixture = withTask(2);
        fixture.timers.advance(RUN_MILLIS - 500);
        int silent = fixture.endpointThatRuns();
        fixture.endpoint(silent).outcome = EndKind.FAILED;
        fixture.setFault(silent, FakeOrders.Fault.LOST);
        fixture.timers.advance(LEASE_OVER_MILLIS);
        fixture.setFault(silent, FakeOrders.Fault.NONE);
        fixture.timers.advance(700);
        fail(fixture);
        assertEquals(fixture.verdicts, FAILED);
        assertEquals(fixture.ledger.starts(), 2);
    }

    /** Guards against a next holder that starts a task, although its lists show as many failed runs. */
    @Test
    public void testFailure_endsAreListedToTheNextHolder() {
        PlacerFixture fixture = PlacerFixture.running(8, RUN_MILLIS);
        fixture.orders.endpoints.values().forEach(endpoint -> endpoint.outcome = EndKind.FAILED);
        Placer first = fixture.openedPlacer(1);
        first.offer(PlacerFixture.patientOffer(1, 1, RUN_MILLIS, 2));
        fixture.timers.advance(20);
        int unacknowledged = fixture.endpointThatRuns();
        fixture.timers.advance(RUN_MILLIS);
        fixture.setFault(unacknowledged, FakeOrders.Fault.LOST);
        fixture.timers.advance(RUN_MILLIS - 40);
        first.close();
        fixture.timers.advance(40);
        fixture.setFault(unacknowledged, FakeOrders.Fault.NONE);
        assertEquals(fixture.ledger.starts(), 2);
        fixture.openedPlacer(2).offer(PlacerFixture.patientOffer(1, 1, RUN_MILLIS, 2));
        fixture.timers.advance(20);
        assertEquals(fixture.ledger.starts(), 2);
    }

    /** Guards against a job that is abandoned because idle endpoints crashed before its task was sent to them. */
    @Test
    public void testStart_refusedByAnotherEndpointIsNoCrash() {
        PlacerFixture fixture = PlacerFixture.running(5, RUN_MILLIS);
        Placer placer = fixture.openedPlacer(1);
        for (int number = 1; number <= 4; number++) {
            fixture.endpoint(number).crash();
        }
        placer.offer(PlacerFixture.patientOffer(1, 1, RUN_MILLIS));
        fixture.timers.advance(RUN_MILLIS + 100);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertEquals(fixture.ledger.starts(), 1);
    }
}
