package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.EndpointEntry;
import org.testng.annotations.Test;

/** One holder whose endpoints restart under the ids that they had before. */
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
        fixture.timers.pass(20);
        return placer;
    }

    private static void assertUnbroken(PlacerFixture fixture) {
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against ends that are dropped because the new incarnation numbers them from 1 again. */
    @Test
    public void testRestart_endsBelowTheKnownNumberAreSeen() {
        PlacerFixture fixture = fixture(1, 60);
        Placer placer = opened(fixture);
        for (int job = 1; job <= 3; job++) {
            placer.offer(PlacerFixture.offer(job, 2));
            fixture.timers.pass(100);
        }
        fixture.endpoint(1).restart();
        placer.offer(PlacerFixture.offer(4, 2));
        fixture.timers.pass(100);
        assertEquals(fixture.verdicts.get(3), "origin-1 4 DONE");
        assertEquals(fixture.ledger.starts(), 8);
        assertUnbroken(fixture);
    }

    /** Guards against a restart that is noticed only as the store tells of it, which may be silent. */
    @Test
    public void testRestart_seenByTheListAlone() {
        PlacerFixture fixture = fixture(2, LONG_RUN_MILLIS);
        Placer placer = opened(fixture);
        placer.offer(PlacerFixture.patientOffer(1, 1, LONG_RUN_MILLIS));
        fixture.timers.pass(20);
        int first = fixture.endpoint(1).running() > 0 ? 1 : 2;
        fixture.endpoint(first).restart();
        fixture.timers.pass(20);
        assertEquals(fixture.badEnds, ImmutableList.of(EndKind.CRASHED));
        assertEquals(fixture.restarted, ImmutableList.of("w-" + first + "@" + SECOND_START_MILLIS));
        assertEquals(fixture.endpoint(1).running() + fixture.endpoint(2).running(), 1);
        fixture.timers.pass(LONG_RUN_MILLIS);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertUnbroken(fixture);
    }

    /** Guards against a list of the earlier incarnation that arrives after the store has told of the new one. */
    @Test
    public void testRestart_listOfTheEarlierIncarnationComesLate() {
        PlacerFixture fixture = fixture(2, LONG_RUN_MILLIS);
        Placer placer = opened(fixture);
        placer.offer(PlacerFixture.patientOffer(1, 1, LONG_RUN_MILLIS));
        fixture.timers.pass(5);
        int first = fixture.endpoint(1).running() > 0 ? 1 : 2;
        fixture.orders.listMillis = 30;
        fixture.timers.pass(99);
        fixture.orders.listMillis = 1;
        fixture.endpoint(first).restart();
        fixture.replaceIncarnation(first, SECOND_START_MILLIS);
        placer.update(PlacerFixture.SHARD, fixture.entries);
        fixture.timers.pass(300);
        assertEquals(fixture.restarted, ImmutableList.of("w-" + first + "@" + SECOND_START_MILLIS));
        assertEquals(fixture.badEnds, ImmutableList.of(EndKind.CRASHED));
        assertEquals(fixture.ledger.starts(), 2);
        fixture.timers.pass(LONG_RUN_MILLIS);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertUnbroken(fixture);
    }

    /** Guards against an entry of the earlier incarnation that ends the new one, or hides it from new work. */
    @Test
    public void testRestart_staleEntryAfterANewerList() {
        PlacerFixture fixture = fixture(1, LONG_RUN_MILLIS);
        Placer placer = opened(fixture);
        placer.offer(PlacerFixture.patientOffer(1, 1, LONG_RUN_MILLIS));
        fixture.timers.pass(20);
        fixture.endpoint(1).restart();
        fixture.timers.pass(20);
        assertEquals(fixture.endpoint(1).running(), 1);
        placer.update(PlacerFixture.SHARD, fixture.entries);
        fixture.timers.pass(20);
        fixture.replaceIncarnation(1, SECOND_START_MILLIS);
        placer.update(PlacerFixture.SHARD, fixture.entries);
        fixture.timers.pass(LONG_RUN_MILLIS);
        assertEquals(fixture.restarted.size(), 1);
        assertEquals(fixture.badEnds, ImmutableList.of(EndKind.CRASHED));
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertUnbroken(fixture);
    }

    /** Guards against a drain of the failure domain that is dropped with an entry of the earlier incarnation. */
    @Test
    public void testRestart_staleEntryOfADrainedDomain() {
        PlacerFixture fixture = fixture(1, LONG_RUN_MILLIS);
        Placer placer = opened(fixture);
        placer.offer(PlacerFixture.patientOffer(1, 1, LONG_RUN_MILLIS));
        fixture.timers.pass(20);
        fixture.endpoint(1).restart();
        fixture.timers.pass(20);
        placer.update(
                PlacerFixture.SHARD,
                fixture.entries.stream().map(EndpointEntry::asDraining).toList());
        placer.offer(PlacerFixture.offer(2, 1));
        fixture.timers.pass(20);
        assertEquals(fixture.endpoint(1).running(), 1);
    }

    /** Guards against a run that is started twice because the order reached the new incarnation unnoticed. */
    @Test
    public void testRestart_runOrderedBeforeDiscoveryGoesOn() {
        PlacerFixture fixture = fixture(2, 300);
        Placer placer = opened(fixture);
        fixture.endpoint(1).restart();
        fixture.endpoint(2).restart();
        fixture.orders.startWay = () -> FakeOrders.Way.ANSWER_LOST;
        placer.offer(PlacerFixture.patientOffer(1, 2, 300));
        fixture.timers.pass(500);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertEquals(fixture.ledger.starts(), 2);
        assertUnbroken(fixture);
    }

    /** Returns a fixture of two endpoints with one job, whose first start order is carried out late. */
    private static PlacerFixture withLateStart() {
        PlacerFixture fixture = fixture(2, 5_000);
        Placer placer = opened(fixture);
        int[] starts = {0};
        fixture.orders.startWay = () -> starts[0]++ == 0 ? FakeOrders.Way.LATE : FakeOrders.Way.CLEAR;
        placer.offer(PlacerFixture.patientOffer(1, 1, 5_000));
        return fixture;
    }

    /**
     * Guards against an order that the earlier incarnation left unanswered and the new one carries out: its expiry is
     * on the earlier clock, and the new one starts lower.
     */
    @Test
    public void testRestart_betweenOrderAndAnswer() {
        PlacerFixture fixture = withLateStart();
        fixture.timers.pass(10);
        fixture.endpoint(1).restart();
        fixture.endpoint(2).restart();
        fixture.timers.pass(9_000);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertEquals(fixture.ledger.starts(), 1);
        assertUnbroken(fixture);
    }

    /** Guards against a late order whose run was settled on the earlier incarnation, unknown to the new one. */
    @Test
    public void testRestart_afterTheUnansweredOrderWasSettled() {
        PlacerFixture fixture = withLateStart();
        fixture.timers.pass(1_000);
        assertEquals(fixture.ledger.starts(), 1);
        fixture.endpoint(1).restart();
        fixture.endpoint(2).restart();
        fixture.timers.pass(15_000);
        assertUnbroken(fixture);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
    }

    /** Guards against a late order that an endpoint carries out which had fallen off the list before it came back. */
    @Test
    public void testRestart_unlistedMeanwhile() {
        PlacerFixture fixture = fixture(1, 5_000);
        Placer placer = opened(fixture);
        fixture.orders.startWay = () -> FakeOrders.Way.LATE;
        placer.offer(PlacerFixture.offer(1, 1));
        fixture.timers.pass(10);
        fixture.setWay(1, FakeOrders.Way.CUT);
        fixture.timers.pass(1_500);
        placer.update(PlacerFixture.SHARD, ImmutableList.of());
        fixture.endpoint(1).restart();
        fixture.setWay(1, FakeOrders.Way.CLEAR);
        fixture.replaceIncarnation(1, SECOND_START_MILLIS);
        placer.update(PlacerFixture.SHARD, fixture.entries);
        fixture.timers.pass(4_000);
        assertEquals(fixture.ledger.starts(), 0);
    }

    /** Guards against runs of an earlier holder that are waited for although their endpoint has restarted. */
    @Test
    public void testRestart_inAHandOver() {
        PlacerFixture fixture = fixture(2, 900);
        Placer before = opened(fixture);
        before.offer(PlacerFixture.offer(1, 4, 900, PlacerFixture.ORIGIN, false));
        fixture.timers.pass(300);
        before.close();
        fixture.verdicts.clear();
        Placer next = fixture.placer(2);
        fixture.timers.pass(10);
        fixture.endpoint(1).restart();
        fixture.replaceIncarnation(1, SECOND_START_MILLIS);
        next.update(PlacerFixture.SHARD, fixture.entries);
        next.offer(PlacerFixture.offer(1, 4, 900, PlacerFixture.ORIGIN, true));
        fixture.timers.pass(1_000);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertEquals(fixture.ledger.starts(), 6);
        assertUnbroken(fixture);
    }

    /** Guards against an ejection that outlives the incarnation whose runs had failed. */
    @Test
    public void testRestart_healthStartsAnew() {
        PlacerFixture fixture = fixture(1, 20);
        fixture.endpoint(1).outcome = EndKind.FAILED;
        Placer placer = opened(fixture);
        placer.offer(PlacerFixture.offer(1, 2));
        fixture.timers.pass(200);
        fixture.endpoint(1).outcome = EndKind.DONE;
        fixture.endpoint(1).restart();
        fixture.replaceIncarnation(1, SECOND_START_MILLIS);
        placer.update(PlacerFixture.SHARD, fixture.entries);
        fixture.timers.pass(10);
        placer.offer(PlacerFixture.offer(2, 2));
        fixture.timers.pass(50);
        assertTrue(fixture.verdicts.contains("origin-1 2 DONE"), fixture.verdicts.toString());
    }

    /** Guards against ends that are dropped where endpoints begin to tell their start, and the store tells it first. */
    @Test
    public void testRestart_firstStartIsToldByTheEntry() {
        PlacerFixture fixture = new PlacerFixture(1);
        Placer placer = opened(fixture);
        for (int job = 1; job <= 3; job++) {
            placer.offer(PlacerFixture.offer(job, 2));
            fixture.timers.pass(100);
        }
        fixture.timers.pass(1_000);
        fixture.endpoint(1).restart();
        fixture.endpoint(1).tellStart(PlacerFixture.FIRST_START_MILLIS);
        fixture.replaceIncarnation(1, PlacerFixture.FIRST_START_MILLIS);
        placer.update(PlacerFixture.SHARD, fixture.entries);
        placer.offer(PlacerFixture.offer(4, 2));
        fixture.timers.pass(100);
        assertEquals(fixture.verdicts.get(3), "origin-1 4 DONE");
        assertEquals(fixture.badEnds, ImmutableList.of());
        assertUnbroken(fixture);
    }
}
