package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.task.EndKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how a job is settled whose task is not started again although its runs have not failed. */
public final class AbandonedTaskTest {
    private static final long RUN_MILLIS = 2_000;
    private static final long LEASE_OVER_MILLIS = 1_500;
    private static final long BACK_AGAIN_MILLIS = 700;
    private static final int MOST_LOST_RUNS = 4;

    /** The failed runs of a task that a queue allows. */
    @DataProvider
    public Object[] attempts() {
        return new Object[] {1, 2, 3, 4};
    }

    /** Guards against a job that is answered as failed because endpoints crashed while they ran its task. */
    @Test(dataProvider = "attempts")
    public void testCrash_isNoFailure(int attempts) {
        PlacerFixture fixture = offered(attempts);
        for (int crashes = 0; crashes < MOST_LOST_RUNS && fixture.isAnyTaskRunning(); crashes++) {
            fixture.endpoint(fixture.endpointThatRuns()).crash();
            fixture.timers.advance(20);
        }
        assertNotFailed(fixture);
    }

    /** Guards against the same answer where endpoints fall silent and are found to have crashed later. */
    @Test(dataProvider = "attempts")
    public void testCrash_foundAfterSilenceIsNoFailure(int attempts) {
        PlacerFixture fixture = offered(attempts);
        for (int crashes = 0; crashes < MOST_LOST_RUNS && fixture.isAnyTaskRunning(); crashes++) {
            int silent = fixture.endpointThatRuns();
            fixture.setFault(silent, FakeOrders.Fault.LOST);
            fixture.endpoint(silent).crash();
            fixture.timers.advance(LEASE_OVER_MILLIS);
            fixture.setFault(silent, FakeOrders.Fault.NONE);
            fixture.timers.advance(BACK_AGAIN_MILLIS);
        }
        assertNotFailed(fixture);
    }

    /** Guards against a job that is answered as failed although none of it has run, since no endpoint can read it. */
    @Test
    public void testStart_unreadableOrderIsNoFailure() {
        PlacerFixture fixture = PlacerFixture.running(2, RUN_MILLIS);
        fixture.endpoint(1).setCanReadOrders(false);
        fixture.endpoint(2).setCanReadOrders(false);
        offer(fixture, 3);
        assertNotFailed(fixture);
    }

    /** Guards against a job that is answered as failed by attempts that were raised before it was submitted again. */
    @Test
    public void testOffer_attemptsAreRaisedBeforeTheJobIsSubmittedAgain() {
        PlacerFixture fixture = PlacerFixture.running(2, 100);
        fixture.endpoint(1).outcome = EndKind.FAILED;
        fixture.endpoint(2).outcome = EndKind.FAILED;
        Placer placer = fixture.openedPlacer(1);
        placer.offer(PlacerFixture.patientOffer(1, 1, 100, 2));
        fixture.timers.advance(20);
        placer.offer(PlacerFixture.patientOffer(1, 1, 100, 4));
        fixture.timers.advance(3_000);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 FAILED"));
        assertEquals(fixture.badEnds.size(), 4);
    }

    private static PlacerFixture offered(int attempts) {
        PlacerFixture fixture = PlacerFixture.running(6, RUN_MILLIS);
        offer(fixture, attempts);
        return fixture;
    }

    private static void offer(PlacerFixture fixture, int attempts) {
        Placer placer = fixture.openedPlacer(1);
        placer.offer(PlacerFixture.patientOffer(1, 1, RUN_MILLIS, attempts));
        fixture.timers.advance(20);
    }

    private static void assertNotFailed(PlacerFixture fixture) {
        fixture.timers.advance(RUN_MILLIS);
        assertFalse(fixture.verdicts.isEmpty(), "no verdict");
        assertFalse(fixture.verdicts.get(0).endsWith("FAILED"), fixture.verdicts.toString());
    }
}
