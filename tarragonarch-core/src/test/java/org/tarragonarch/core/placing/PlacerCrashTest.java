package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.task.EndpointEntry;
import org.testng.annotations.Test;

/** One holder whose endpoints crash under tasks. */
public final class PlacerCrashTest {
    private static final long RUN_MILLIS = 2_000;
    private static final long LEASE_OVER_MILLIS = 1_500;

    private static PlacerFixture fixture(int endpoints) {
        return PlacerFixture.running(endpoints, RUN_MILLIS);
    }

    private static Placer opened(PlacerFixture fixture) {
        return fixture.openedPlacer(1);
    }

    private static Placer openedWithTask(PlacerFixture fixture) {
        Placer placer = opened(fixture);
        placer.offer(PlacerFixture.patientOffer(1, 1, RUN_MILLIS));
        fixture.timers.pass(20);
        return placer;
    }

    private static int endpointThatRuns(PlacerFixture fixture) {
        for (int number = 1; number <= fixture.entries.size(); number++) {
            if (fixture.endpoint(number).running() > 0) {
                return number;
            }
        }
        throw new AssertionError("no endpoint runs anything");
    }

    private static void crash(PlacerFixture fixture, int number) {
        fixture.endpoint(number).crash();
        fixture.timers.pass(20);
    }

    /** Guards against a task that takes down one endpoint after the other until its client leaves. */
    @Test
    public void testCrash_taskIsGivenUpAfterTwo() {
        PlacerFixture fixture = fixture(4);
        openedWithTask(fixture);
        crash(fixture, endpointThatRuns(fixture));
        assertEquals(fixture.verdicts, ImmutableList.of());
        crash(fixture, endpointThatRuns(fixture));
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 FAILED"));
        assertEquals(fixture.ledger.starts(), 2);
    }

    /** Guards against a task that is given up because another, beside which it ran, crashes endpoints. */
    @Test
    public void testCrash_tasksThatStoodBesideAreStartedApartAndCleared() {
        PlacerFixture fixture = fixture(4);
        Placer placer = opened(fixture);
        placer.offer(PlacerFixture.patientOffer(1, 1, RUN_MILLIS));
        placer.offer(PlacerFixture.patientOffer(2, 1, RUN_MILLIS));
        fixture.timers.pass(20);
        int shared = endpointThatRuns(fixture);
        assertEquals(fixture.endpoint(shared).running(), 2);
        crash(fixture, shared);
        int first = endpointThatRuns(fixture);
        assertEquals(fixture.endpoint(first).running(), 1);
        crash(fixture, first);
        fixture.timers.pass(RUN_MILLIS);
        assertEquals(fixture.verdicts.size(), 2);
        assertTrue(fixture.verdicts.get(0).endsWith("FAILED"), fixture.verdicts.toString());
        assertTrue(fixture.verdicts.get(1).endsWith("DONE"), fixture.verdicts.toString());
    }

    /** Guards against other tasks that are put beside one which may crash its endpoint. */
    @Test
    public void testCrash_othersStayAwayFromASuspect() {
        PlacerFixture fixture = fixture(4);
        Placer placer = openedWithTask(fixture);
        crash(fixture, endpointThatRuns(fixture));
        int suspect = endpointThatRuns(fixture);
        placer.offer(PlacerFixture.patientOffer(2, 1, RUN_MILLIS));
        fixture.timers.pass(20);
        assertEquals(fixture.endpoint(suspect).running(), 1);
    }

    /** Guards against a crash that shows only as silence until the endpoint is back under another id. */
    @Test
    public void testCrash_silentEndpointThatIsBackAsAnotherLifeCounts() {
        PlacerFixture fixture = fixture(4);
        openedWithTask(fixture);
        int silent = endpointThatRuns(fixture);
        fixture.setWay(silent, FakeOrders.Way.CUT);
        fixture.endpoint(silent).crash();
        fixture.timers.pass(LEASE_OVER_MILLIS);
        assertEquals(fixture.ledger.starts(), 2);
        fixture.setWay(silent, FakeOrders.Way.CLEAR);
        fixture.timers.pass(700);
        crash(fixture, endpointThatRuns(fixture));
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 FAILED"));
        assertEquals(fixture.ledger.starts(), 2);
    }

    /** Guards against a task that is given up because the endpoints on which it ran were replaced as planned. */
    @Test
    public void testCrash_endpointThatLeftAsPlannedDoesNotCount() {
        PlacerFixture fixture = fixture(4);
        Placer placer = openedWithTask(fixture);
        for (int replaced = 0; replaced < 2; replaced++) {
            int number = endpointThatRuns(fixture);
            EndpointEntry entry = fixture.entries.get(number - 1);
            fixture.entries.set(number - 1, entry.asDraining());
            placer.update(PlacerFixture.SHARD, fixture.entries);
            crash(fixture, number);
        }
        fixture.timers.pass(RUN_MILLIS);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
    }

    /** Guards against a job shown as failed because its endpoints fell silent; after four lost runs it is given up. */
    @Test
    public void testCrash_taskUnderWhichEndpointsVanishIsGivenUp() {
        PlacerFixture fixture = fixture(6);
        openedWithTask(fixture);
        for (int vanished = 0; vanished < 4; vanished++) {
            int number = endpointThatRuns(fixture);
            fixture.setWay(number, FakeOrders.Way.CUT);
            fixture.endpoint(number).crash();
            fixture.timers.pass(LEASE_OVER_MILLIS);
        }
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 TOO_LATE"));
        assertEquals(fixture.ledger.starts(), 4);
    }
}
