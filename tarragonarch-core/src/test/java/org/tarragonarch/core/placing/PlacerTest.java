package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.EndKind;
import org.testng.annotations.Test;

/** One holder and its endpoints in virtual time. */
public final class PlacerTest {
    @Test
    public void testOffer_withinCapacity() {
        PlacerFixture fixture = new PlacerFixture(2);
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        placer.offer(PlacerFixture.offer(1, 4));
        fixture.timers.advance(100);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertEquals(fixture.ledger.starts(), 4);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    @Test
    public void testOffer_moreTasksThanCapacity() {
        PlacerFixture fixture = new PlacerFixture(1);
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        placer.offer(PlacerFixture.offer(1, 3));
        fixture.timers.advance(200);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against jobs that cannot be answered in time and are declined only after they waited or started. */
    @Test
    public void testOffer_cannotMeetObjective() {
        PlacerFixture fixture = new PlacerFixture(1);
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        for (int job = 1; job <= 10; job++) {
            placer.offer(PlacerFixture.offer(job, 2));
        }
        long declined = fixture.verdicts.stream()
                .filter(verdict -> verdict.endsWith("DECLINED"))
                .count();
        assertTrue(declined >= 6, fixture.verdicts.toString());
        assertEquals(fixture.estimates.size(), declined);
        assertEquals(fixture.estimates.get(0).taskSlots(), 2);
        fixture.timers.advance(1_000);
        assertEquals(fixture.verdicts.size(), 10);
        assertEquals(fixture.ledger.starts(), (10 - declined) * 2);
    }

    /** Guards against a task that runs twice because a start order that counted as lost arrives three seconds later. */
    @Test
    public void testOffer_startOrderArrivesAfterLease() {
        PlacerFixture fixture = new PlacerFixture(2);
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        int[] sent = {0};
        fixture.orders.startFault = () -> sent[0]++ == 0 ? FakeOrders.Fault.DELAYED : FakeOrders.Fault.NONE;
        fixture.endpoint(1).runMillis = 4_000;
        fixture.endpoint(2).runMillis = 4_000;
        placer.offer(PlacerFixture.offer(1, 1, 900, PlacerFixture.ORIGIN, false));
        fixture.timers.advance(6_000);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertEquals(fixture.ledger.starts(), 1);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against tasks of an unreachable endpoint that start elsewhere before its lease has expired, or never. */
    @Test
    public void testOffer_endpointCutOff() {
        PlacerFixture fixture = new PlacerFixture(2);
        fixture.endpoint(1).runMillis = 2_000;
        fixture.endpoint(2).runMillis = 500;
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        placer.offer(PlacerFixture.offer(1, 1, 2_000, PlacerFixture.ORIGIN, false));
        fixture.timers.advance(100);
        int first = fixture.endpoint(1).running() > 0 ? 1 : 2;
        fixture.setFault(first, FakeOrders.Fault.LOST);
        fixture.timers.advance(2_500);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
    }

    /** Guards against endpoints overfilled by a holder that does not know the runs of the earlier holder. */
    @Test
    public void testClaim_earlierHolderLeftRuns() {
        PlacerFixture fixture = new PlacerFixture(1);
        fixture.endpoint(1).runMillis = 900;
        Placer before = fixture.placer(1);
        fixture.timers.advance(20);
        before.offer(PlacerFixture.offer(1, 2, 900, PlacerFixture.ORIGIN, false));
        fixture.timers.advance(50);
        Placer next = fixture.placer(2);
        next.offer(PlacerFixture.offer(1, 2, 900, PlacerFixture.ORIGIN, true));
        fixture.timers.advance(3_000);
        assertEquals(fixture.fenced, 1);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
        assertTrue(fixture.verdicts.contains("origin-1 1 DONE"), fixture.verdicts.toString());
    }

    /**
     * Guards against two runs of a task when a client disconnects and resubmits its job before the first runs are
     * stopped.
     */
    @Test
    public void testOffer_resubmittedWhileRunsStop() {
        PlacerFixture fixture = new PlacerFixture(2);
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        placer.offer(PlacerFixture.offer(1, 2));
        fixture.timers.advance(10);
        placer.withdraw(PlacerFixture.ORIGIN, PlacerFixture.id(1));
        placer.offer(PlacerFixture.offer(1, 2, 60, NodeId.of("origin-2"), false));
        fixture.timers.advance(500);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-2 1 DONE"));
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /**
     * Guards against jobs that fail because an endpoint that fails every run at once polls idle and gets all attempts.
     */
    @Test
    public void testOffer_endpointFailsAllRuns() {
        PlacerFixture fixture = new PlacerFixture(3);
        fixture.endpoint(1).outcome = EndKind.FAILED;
        fixture.endpoint(1).runMillis = 5;
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        for (int job = 1; job <= 9; job++) {
            placer.offer(PlacerFixture.offer(job, 1));
            fixture.timers.advance(150);
        }
        long done = fixture.verdicts.stream()
                .filter(verdict -> verdict.endsWith("DONE"))
                .count();
        assertEquals(done, 9, fixture.verdicts.toString());
        assertTrue(fixture.ledger.starts() <= 13, "starts " + fixture.ledger.starts());
    }

    /** Guards against endless retries of a job whose tasks fail at every endpoint. */
    @Test
    public void testOffer_taskFailsEverywhere() {
        PlacerFixture fixture = new PlacerFixture(2);
        fixture.endpoint(1).outcome = EndKind.FAILED;
        fixture.endpoint(2).outcome = EndKind.FAILED;
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        placer.offer(PlacerFixture.offer(1, 1));
        fixture.timers.advance(3_000);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 FAILED"));
        assertEquals(fixture.ledger.starts(), 3);
        assertEquals(fixture.badEnds, ImmutableList.of(EndKind.FAILED, EndKind.FAILED, EndKind.FAILED));
    }

    /** Guards against a job that continues after its origin is lost: its client resubmits it through another node. */
    @Test
    public void testOriginLost() {
        PlacerFixture fixture = new PlacerFixture(1);
        fixture.endpoint(1).runMillis = 900;
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        placer.offer(PlacerFixture.offer(1, 2, 900, PlacerFixture.ORIGIN, false));
        fixture.timers.advance(20);
        placer.originLost(PlacerFixture.ORIGIN);
        fixture.timers.advance(100);
        assertEquals(fixture.endpoint(1).running(), 0);
        assertEquals(fixture.verdicts, ImmutableList.of());
    }

    /** Guards against jobs refused in the 50 ms in which a new holder reads the run lists of its endpoints. */
    @Test
    public void testOffer_endpointsInitializing() {
        PlacerFixture fixture = new PlacerFixture(2);
        Placer placer = fixture.placer(1);
        placer.offer(PlacerFixture.offer(1, 2));
        fixture.timers.advance(200);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
    }

    @Test
    public void testIsUnreachable() {
        PlacerFixture fixture = new PlacerFixture(2);
        fixture.setFault(1, FakeOrders.Fault.LOST);
        fixture.setFault(2, FakeOrders.Fault.LOST);
        Placer placer = fixture.placer(1);
        fixture.timers.advance(500);
        assertEquals(placer.isUnreachable(PlacerFixture.SHARD), false);
        fixture.timers.advance(200);
        assertEquals(placer.isUnreachable(PlacerFixture.SHARD), true);
        fixture.setFault(2, FakeOrders.Fault.NONE);
        fixture.timers.advance(1_500);
        assertEquals(placer.isUnreachable(PlacerFixture.SHARD), false);
    }

    /** Guards against a burst in which overdue jobs start first, so that only 60 of 300 jobs are answered in time. */
    @Test
    public void testOffer_overdueJobStartsLast() {
        PlacerFixture fixture = new PlacerFixture(1);
        fixture.endpoint(1).runMillis = 300;
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        placer.offer(PlacerFixture.offer(1, 2, 300, PlacerFixture.ORIGIN, false));
        placer.offer(PlacerFixture.offer(2, 2, 100, PlacerFixture.ORIGIN, false));
        fixture.timers.advance(290);
        placer.offer(PlacerFixture.offer(3, 2, 150, PlacerFixture.ORIGIN, false));
        fixture.endpoint(1).runMillis = 100;
        fixture.timers.advance(1_000);
        ImmutableList<String> inTimeFirst = ImmutableList.of("origin-1 1 DONE", "origin-1 3 DONE", "origin-1 2 DONE");
        assertEquals(fixture.verdicts, inTimeFirst);
    }

    /** Guards against a run that stalls until the deadline at an endpoint that answers every call. */
    @Test
    public void testReview_stalledRun() {
        PlacerFixture fixture = new PlacerFixture(2);
        fixture.endpoint(1).runMillis = 100_000;
        fixture.endpoint(2).runMillis = 100_000;
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        placer.offer(PlacerFixture.offer(1, 1));
        fixture.timers.advance(20);
        fixture.endpoint(1).runMillis = 60;
        fixture.endpoint(2).runMillis = 60;
        fixture.timers.advance(350);
        placer.review();
        fixture.timers.advance(200);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against a task that stalls for several times its run time although its reported progress shows that. */
    @Test
    public void testRunList_stalledTaskIsRestarted() {
        PlacerFixture fixture = new PlacerFixture(4);
        fixture.orders.endpoints.values().forEach(endpoint -> endpoint.runMillis = 900);
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        for (int job = 1; job <= 3; job++) {
            placer.offer(PlacerFixture.offer(job, 2, 900, PlacerFixture.ORIGIN, false));
            fixture.timers.advance(1_000);
        }
        fixture.endpoint(1).stalls = true;
        placer.offer(PlacerFixture.offer(9, 2, 900, PlacerFixture.ORIGIN, false));
        fixture.timers.advance(1_400);
        assertEquals(fixture.verdicts.get(3), "origin-1 9 DONE");
        assertEquals(fixture.ledger.starts(), 10);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against runs that are stopped because their endpoint reports no progress of any run. */
    @Test
    public void testRunList_noProgressReported() {
        PlacerFixture fixture = new PlacerFixture(1);
        fixture.endpoint(1).runMillis = 900;
        fixture.endpoint(1).reportsNoProgress = true;
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        for (int job = 1; job <= 5; job++) {
            placer.offer(PlacerFixture.offer(job, 2, 900, PlacerFixture.ORIGIN, false));
            fixture.timers.advance(1_000);
        }
        assertEquals(fixture.ledger.starts(), 10);
        assertEquals(fixture.verdicts.size(), 5);
    }

    /** Guards against a withdrawn job that starts once its earlier runs are known to be over. */
    @Test
    public void testWithdraw_awaitingEarlierRuns() {
        PlacerFixture fixture = new PlacerFixture(1);
        Placer placer = fixture.placer(1);
        placer.offer(PlacerFixture.offer(1, 1, 60, PlacerFixture.ORIGIN, true));
        placer.offer(PlacerFixture.offer(2, 1, 60, PlacerFixture.ORIGIN, true));
        placer.withdraw(PlacerFixture.ORIGIN, PlacerFixture.id(1));
        fixture.timers.advance(500);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 2 DONE"));
        assertEquals(fixture.ledger.starts(), 1);
    }

    /**
     * Guards against the start of a resubmitted job that was withdrawn, or whose origin was lost, while its first runs
     * were being stopped.
     */
    @Test
    public void testWithdraw_resubmittedWhileRunsStop() {
        PlacerFixture fixture = new PlacerFixture(2);
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        placer.offer(PlacerFixture.offer(1, 1));
        placer.offer(PlacerFixture.offer(2, 1));
        fixture.timers.advance(10);
        placer.withdraw(PlacerFixture.ORIGIN, PlacerFixture.id(1));
        placer.withdraw(PlacerFixture.ORIGIN, PlacerFixture.id(2));
        placer.offer(PlacerFixture.offer(1, 1));
        placer.withdraw(PlacerFixture.ORIGIN, PlacerFixture.id(1));
        placer.offer(PlacerFixture.offer(2, 1, 60, NodeId.of("origin-2"), false));
        placer.originLost(NodeId.of("origin-2"));
        fixture.timers.advance(500);
        assertEquals(fixture.verdicts, ImmutableList.of());
        assertEquals(fixture.ledger.starts(), 2);
    }

    /** Guards against ends that are seen half a second late because one poll got no answer. */
    @Test
    public void testOffer_pollLost() {
        PlacerFixture fixture = new PlacerFixture(1);
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        int[] polls = {0};
        fixture.orders.pollFault = () -> polls[0]++ == 0 ? FakeOrders.Fault.LOST : FakeOrders.Fault.NONE;
        placer.offer(PlacerFixture.offer(1, 1));
        fixture.timers.advance(155);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /**
     * Guards against a late or repeated task whose start order is delayed by seconds: it starts elsewhere in time,
     * once.
     */
    @Test
    public void testOffer_startOrderDelayed() {
        PlacerFixture fixture = new PlacerFixture(2);
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        int[] sent = {0};
        fixture.orders.startFault = () -> sent[0]++ == 0 ? FakeOrders.Fault.DELAYED : FakeOrders.Fault.NONE;
        placer.offer(PlacerFixture.offer(1, 1));
        fixture.timers.advance(150);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        fixture.timers.advance(5_000);
        assertEquals(fixture.ledger.starts(), 1);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against a run that is discarded because only the answer to its start order was lost. */
    @Test
    public void testOffer_startAnswerLost() {
        PlacerFixture fixture = new PlacerFixture(2);
        fixture.endpoint(1).runMillis = 200;
        fixture.endpoint(2).runMillis = 200;
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        fixture.orders.startFault = () -> FakeOrders.Fault.ANSWER_LOST;
        placer.offer(PlacerFixture.offer(1, 2, 200, PlacerFixture.ORIGIN, false));
        fixture.timers.advance(250);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertEquals(fixture.ledger.starts(), 2);
        assertEquals(fixture.badEnds, ImmutableList.of());
    }

    /** Guards against a started job that is ended as too late while its caller still waits. */
    @Test
    public void testOffer_startedJobFinishesLate() {
        PlacerFixture fixture = new PlacerFixture(1);
        fixture.endpoint(1).runMillis = 500;
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        placer.offer(PlacerFixture.offer(1, 3));
        fixture.timers.advance(1_200);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
    }

    /** Guards against a late job that is refused while endpoints are idle and its caller still waits. */
    @Test
    public void testOffer_lateWithFreeCapacity() {
        PlacerFixture fixture = new PlacerFixture(2);
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        placer.offer(PlacerFixture.offer(1, 2).afterWait(500));
        fixture.timers.advance(100);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
    }

    /** Guards against a late job that is refused right after a takeover, while the endpoints are initializing. */
    @Test
    public void testOffer_lateWhileEndpointsInitialize() {
        PlacerFixture fixture = new PlacerFixture(2);
        Placer placer = fixture.placer(1);
        placer.offer(PlacerFixture.offer(1, 2).afterWait(500));
        placer.offer(PlacerFixture.offer(2, 2).afterWait(500));
        placer.offer(PlacerFixture.offer(3, 2).afterWait(500));
        fixture.timers.advance(200);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 3 DECLINED", "origin-1 1 DONE", "origin-1 2 DONE"));
    }

    /** Guards against a late job that takes the capacity of jobs that can still be answered in time. */
    @Test
    public void testOffer_lateWhileOthersWait() {
        PlacerFixture fixture = new PlacerFixture(1);
        Placer placer = fixture.placer(1);
        fixture.timers.advance(20);
        placer.offer(PlacerFixture.offer(1, 2));
        placer.offer(PlacerFixture.offer(2, 2).afterWait(500));
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 2 DECLINED"));
    }
}
