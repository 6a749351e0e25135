package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.Resources;
import org.testng.annotations.Test;

/** One holder whose endpoints are drained, or change their capacity, while jobs run and wait. */
public final class PlacerDrainTest {
    private static final int LONG_MILLIS = 600;

    private static void drain(PlacerFixture fixture, Placer placer) {
        placer.update(
                PlacerFixture.SHARD,
                fixture.entries.stream().map(EndpointEntry::asDraining).toList());
    }

    private static void undrain(PlacerFixture fixture, Placer placer) {
        placer.update(PlacerFixture.SHARD, fixture.entries);
    }

    private static void resize(PlacerFixture fixture, Placer placer, long milliCores) {
        placer.update(
                PlacerFixture.SHARD,
                fixture.entries.stream()
                        .map(entry -> PlacerFixture.resized(entry, new Resources(milliCores, 32_768, 0)))
                        .toList());
    }

    private static Placer opened(PlacerFixture fixture) {
        return fixture.openedPlacer(1);
    }

    private static Placer openedWithJob(PlacerFixture fixture, int tasks) {
        Placer placer = opened(fixture);
        offerLong(fixture, placer, 1, tasks);
        return placer;
    }

    private static void offerLong(PlacerFixture fixture, Placer placer, int job, int tasks) {
        placer.offer(PlacerFixture.firstOffer(job, tasks, LONG_MILLIS));
        fixture.timers.advance(5);
    }

    private static PlacerFixture runningLong(int endpoints) {
        PlacerFixture fixture = new PlacerFixture(endpoints);
        runLong(fixture);
        return fixture;
    }

    private static void runLong(PlacerFixture fixture) {
        fixture.setRunMillis(LONG_MILLIS);
    }

    /** Guards against runs that are stopped because their domain is drained. */
    @Test
    public void testDrain_runsAreFinished() {
        PlacerFixture fixture = runningLong(1);
        Placer placer = openedWithJob(fixture, 2);
        drain(fixture, placer);
        fixture.timers.advance(1_000);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertEquals(fixture.ledger.starts(), 2);
    }

    /** Guards against a job that is admitted in a drained domain and waits there until its deadline. */
    @Test
    public void testDrain_newJobIsDeclined() {
        PlacerFixture fixture = new PlacerFixture(2);
        Placer placer = opened(fixture);
        drain(fixture, placer);
        placer.offer(PlacerFixture.offer(1, 1));
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DECLINED"));
    }

    /** Guards against a hundred jobs that wait in a drained domain while other domains have free capacity. */
    @Test
    public void testDrain_waitingJobsAreDeclined() {
        PlacerFixture fixture = runningLong(1);
        Placer placer = openedWithJob(fixture, 2);
        for (int job = 2; job <= 101; job++) {
            placer.offer(PlacerFixture.patientOffer(job, 1, LONG_MILLIS));
        }
        assertEquals(fixture.verdicts, ImmutableList.of());
        drain(fixture, placer);
        assertEquals(fixture.verdicts.size(), 100);
        assertTrue(fixture.verdicts.stream().allMatch(verdict -> verdict.endsWith("DECLINED")));
        fixture.timers.advance(1_000);
        assertEquals(fixture.ledger.starts(), 2);
    }

    /** Guards against a job whose last task can no longer start while its other tasks run in vain. */
    @Test
    public void testDrain_partlyStartedJobIsEvicted() {
        PlacerFixture fixture = runningLong(1);
        Placer placer = openedWithJob(fixture, 3);
        drain(fixture, placer);
        assertEquals(fixture.verdicts, ImmutableList.of());
        fixture.timers.advance(200);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 EVICTED"));
        assertEquals(fixture.endpoint(1).running(), 0);
        assertEquals(fixture.ledger.starts(), 2);
    }

    /** Guards against a job that runs at two holders because its client resubmitted it while it was being evicted. */
    @Test
    public void testDrain_resubmittedWhileRunsStop() {
        PlacerFixture fixture = runningLong(1);
        Placer placer = openedWithJob(fixture, 3);
        drain(fixture, placer);
        placer.offer(PlacerFixture.firstOffer(1, 3, LONG_MILLIS));
        fixture.timers.advance(200);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DECLINED"));
    }

    /** Guards against a job that is never returned because an earlier origin withdraws it. */
    @Test
    public void testDrain_withdrawnByEarlierOrigin() {
        PlacerFixture fixture = runningLong(1);
        Placer placer = openedWithJob(fixture, 3);
        drain(fixture, placer);
        placer.withdraw(NodeId.of("origin-0"), PlacerFixture.id(1));
        fixture.timers.advance(200);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 EVICTED"));
    }

    /** Guards against a retry in a drained domain. */
    @Test
    public void testDrain_failedTaskIsNotRetried() {
        PlacerFixture fixture = runningLong(1);
        fixture.endpoint(1).outcome = EndKind.FAILED;
        Placer placer = opened(fixture);
        offerLong(fixture, placer, 1, 1);
        drain(fixture, placer);
        fixture.timers.advance(1_000);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 EVICTED"));
        assertEquals(fixture.ledger.starts(), 1);
    }

    /** Guards against a new holder that adopts the runs of a drained domain and starts further tasks there. */
    @Test
    public void testDrain_nextHolderAdoptsRuns() {
        PlacerFixture fixture = runningLong(1);
        Placer before = opened(fixture);
        offerLong(fixture, before, 1, 2);
        offerLong(fixture, before, 2, 1);
        before.close();
        Placer next = fixture.placer(2);
        drain(fixture, next);
        fixture.verdicts.clear();
        next.offer(PlacerFixture.repeatedOffer(1, 2, LONG_MILLIS));
        next.offer(PlacerFixture.repeatedOffer(2, 1, LONG_MILLIS));
        fixture.timers.advance(1_500);
        assertEquals(
                ImmutableList.sortedCopyOf(fixture.verdicts),
                ImmutableList.of("origin-1 1 DONE", "origin-1 2 DECLINED"));
        assertEquals(fixture.ledger.starts(), 2);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against jobs that are returned although another shard of the pool can run them. */
    @Test
    public void testDrain_otherShardTakesWaitingJobs() {
        PlacerFixture fixture = runningLong(2);
        Placer placer = fixture.placerOfTwoShards(1, 2);
        fixture.timers.advance(20);
        offerLong(fixture, placer, 1, 4);
        placer.offer(PlacerFixture.patientOffer(2, 2, LONG_MILLIS));
        placer.update(
                PlacerFixture.SHARD, ImmutableList.of(fixture.entries.get(0).asDraining()));
        fixture.timers.advance(2_000);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE", "origin-1 2 DONE"));
        assertEquals(fixture.endpoint(1).started(), 2);
        assertEquals(fixture.endpoint(2).started(), 4);
    }

    /** Guards against a domain that gets no jobs after its drain has ended. */
    @Test
    public void testUndrain_acceptsJobs() {
        PlacerFixture fixture = new PlacerFixture(1);
        Placer placer = opened(fixture);
        drain(fixture, placer);
        undrain(fixture, placer);
        placer.offer(PlacerFixture.offer(1, 2));
        fixture.timers.advance(200);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
    }

    /** Guards against tasks on endpoints that are still cold, and therefore slow, while warm ones are idle. */
    @Test
    public void testUndrain_prefersWarmEndpoints() {
        PlacerFixture fixture = new PlacerFixture(2);
        fixture.entries.set(0, PlacerFixture.cold(fixture.entries.get(0)));
        Placer placer = opened(fixture);
        placer.offer(PlacerFixture.offer(1, 2));
        fixture.timers.advance(200);
        assertEquals(fixture.endpoint(1).started(), 0);
        placer.offer(PlacerFixture.offer(2, 4));
        fixture.timers.advance(200);
        assertEquals(fixture.endpoint(1).started(), 2);
    }

    /** Guards against stopped or additional runs when an endpoint shrinks below the capacity in use. */
    @Test
    public void testResize_belowCapacityInUse() {
        PlacerFixture fixture = runningLong(1);
        Placer placer = openedWithJob(fixture, 2);
        resize(fixture, placer, 8_000);
        placer.offer(PlacerFixture.patientOffer(2, 1, LONG_MILLIS));
        fixture.timers.advance(400);
        assertEquals(fixture.endpoint(1).running(), 2);
        fixture.timers.advance(300);
        assertEquals(fixture.endpoint(1).running(), 1);
        fixture.timers.advance(1_000);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE", "origin-1 2 DONE"));
    }

    /** Guards against capacity of a run that is being stopped and is reused before the end of the run is listed. */
    @Test
    public void testResize_stoppingRunsHoldCapacity() {
        PlacerFixture fixture = runningLong(1);
        Placer placer = openedWithJob(fixture, 2);
        placer.offer(PlacerFixture.patientOffer(2, 1, LONG_MILLIS));
        placer.withdraw(PlacerFixture.ORIGIN, PlacerFixture.id(1));
        resize(fixture, placer, 14_000);
        fixture.timers.advance(10);
        assertEquals(fixture.ledger.starts(), 2);
        fixture.timers.advance(60);
        assertEquals(fixture.ledger.starts(), 3);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /**
     * Guards against an overfilled endpoint that shrinks while a start order is in flight: its reservation must count.
     */
    @Test
    public void testResize_startOrderInFlight() {
        PlacerFixture fixture = runningLong(1);
        Placer placer = opened(fixture);
        placer.offer(PlacerFixture.firstOffer(1, 1, LONG_MILLIS));
        resize(fixture, placer, 8_000);
        placer.offer(PlacerFixture.patientOffer(2, 1, LONG_MILLIS));
        fixture.timers.advance(300);
        assertEquals(fixture.endpoint(1).running(), 1);
    }

    /** Guards against a task that waits until its deadline although no endpoint is large enough for it any longer. */
    @Test
    public void testResize_taskFitsNoEndpoint() {
        PlacerFixture fixture = runningLong(1);
        Placer placer = openedWithJob(fixture, 2);
        placer.offer(PlacerFixture.patientOffer(2, 1, LONG_MILLIS));
        resize(fixture, placer, 6_000);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 2 DECLINED"));
        fixture.timers.advance(1_000);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 2 DECLINED", "origin-1 1 DONE"));
    }

    /** Guards against added capacity that is not used until the next run ends. */
    @Test
    public void testResize_addedCapacityIsUsed() {
        PlacerFixture fixture = runningLong(1);
        Placer placer = opened(fixture);
        resize(fixture, placer, 8_000);
        offerLong(fixture, placer, 1, 1);
        placer.offer(PlacerFixture.patientOffer(2, 1, LONG_MILLIS));
        fixture.timers.advance(20);
        assertEquals(fixture.endpoint(1).running(), 1);
        resize(fixture, placer, 16_000);
        fixture.timers.advance(5);
        assertEquals(fixture.endpoint(1).running(), 2);
    }

    /** Guards against a next holder that fills a shrunk endpoint up to its former capacity. */
    @Test
    public void testResize_nextHolderUsesNewCapacity() {
        PlacerFixture fixture = runningLong(1);
        Placer before = opened(fixture);
        offerLong(fixture, before, 1, 1);
        before.close();
        Resources shrunk = new Resources(8_000, 32_768, 0);
        fixture.entries.set(0, PlacerFixture.resized(fixture.entries.get(0), shrunk));
        Placer next = fixture.placer(2);
        next.offer(PlacerFixture.repeatedOffer(1, 1, LONG_MILLIS));
        next.offer(PlacerFixture.patientOffer(2, 1, LONG_MILLIS));
        fixture.timers.advance(300);
        assertEquals(fixture.endpoint(1).running(), 1);
        assertEquals(next.freeMilliCores(PlacerFixture.SHARD), 1_000);
        assertEquals(fixture.entries.get(0).id(), EndpointId.of("w-1"));
    }
}
