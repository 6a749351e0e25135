package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import org.testng.annotations.Test;

/** Holders whose shards come and go, one at a time or all at once. */
public final class PlacerHandOverTest {
    /** Returns a holder that was offered a job as soon as it had read its endpoints. */
    private static Placer holderWithJob(PlacerFixture fixture, int tasks) {
        Placer holder = fixture.openedPlacer(1);
        holder.offer(PlacerFixture.firstOffer(1, tasks, 900));
        return holder;
    }

    /** Guards against a job of five places that runs in two waves, and late, as each shard has only four. */
    @Test
    public void testOpen_twoShardsAreOnePool() {
        PlacerFixture fixture = new PlacerFixture(4);
        Placer placer = fixture.placerOfTwoShards(1, 2);
        fixture.timers.pass(20);
        placer.offer(PlacerFixture.offer(1, 5));
        fixture.timers.pass(90);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against tasks of a released shard that start elsewhere before their lease is over. */
    @Test
    public void testRelease_tasksOfTheShardStartElsewhereAfterTheirLease() {
        PlacerFixture fixture = PlacerFixture.running(2, 900);
        Placer placer = fixture.placerOfTwoShards(1, 2);
        fixture.timers.pass(20);
        placer.offer(PlacerFixture.firstOffer(1, 4, 900));
        fixture.timers.pass(20);
        placer.release(PlacerFixture.SECOND_SHARD);
        fixture.timers.pass(1_000);
        assertEquals(fixture.verdicts, ImmutableList.of());
        fixture.timers.pass(1_900);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** The last shard goes: every job is given back to the node that asked, who offers it to the next holder. */
    @Test
    public void testRelease_lastShardGivesJobsBack() {
        PlacerFixture fixture = new PlacerFixture(2);
        Placer placer = fixture.placerOfTwoShards(1, 2);
        fixture.timers.pass(20);
        placer.offer(PlacerFixture.offer(1, 1));
        placer.release(PlacerFixture.SECOND_SHARD);
        placer.release(PlacerFixture.SHARD);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 HOLD_LOST"));
        fixture.timers.pass(3_000);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 HOLD_LOST"));
    }

    /** Guards against tasks that run twice on an endpoint that the holder could not reach since it claimed. */
    @Test
    public void testOffer_earlierRunsOnAnEndpointThatWasOutOfReach() {
        PlacerFixture fixture = PlacerFixture.running(2, 900);
        fixture.setWay(2, FakeOrders.Way.CUT);
        Placer holder = fixture.placer(2);
        fixture.timers.pass(5_000);
        fixture.setWay(2, FakeOrders.Way.CLEAR);
        Placer earlier = fixture.placerOfEndpoint(2, 1);
        fixture.timers.pass(5);
        earlier.offer(PlacerFixture.firstOffer(1, 1, 900));
        fixture.timers.pass(5);
        assertEquals(fixture.endpoint(2).running(), 1);
        holder.offer(PlacerFixture.repeatedOffer(1, 1, 900));
        fixture.timers.pass(3_000);
        assertTrue(fixture.verdicts.contains("origin-1 1 DONE"), fixture.verdicts.toString());
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against tasks that run twice since the holder released the shard with the earlier runs. */
    @Test
    public void testOffer_earlierRunsInAShardThatWasLetGo() {
        PlacerFixture fixture = PlacerFixture.running(2, 300);
        Placer inside = fixture.placerOfEndpoint(1, 1);
        fixture.timers.pass(10);
        inside.offer(PlacerFixture.firstOffer(1, 1, 300));
        Placer outside = fixture.placerOfTwoShards(2, 2);
        outside.release(PlacerFixture.SHARD);
        fixture.timers.pass(5);
        outside.offer(PlacerFixture.repeatedOffer(1, 1, 300));
        fixture.timers.pass(2_000);
        assertTrue(fixture.verdicts.contains("origin-1 1 DONE"), fixture.verdicts.toString());
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** The stop of a run that an earlier holder left gets no answer: it is sent again, and nothing starts before. */
    @Test
    public void testClaim_stopOfAnEarlierRunIsLost() {
        PlacerFixture fixture = PlacerFixture.running(1, 5_000);
        holderWithJob(fixture, 2);
        fixture.timers.pass(50);
        int[] stops = {0};
        fixture.orders.stopWay = () -> stops[0]++ < 2 ? FakeOrders.Way.CUT : FakeOrders.Way.CLEAR;
        Placer next = fixture.placer(2);
        fixture.endpoint(1).runMillis = 60;
        next.offer(PlacerFixture.offer(2, 2));
        fixture.timers.pass(400);
        assertTrue(fixture.verdicts.contains("origin-1 2 DONE"), fixture.verdicts.toString());
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
        assertEquals(stops[0], 4);
    }

    /** Guards against runs that the next holder stops and starts anew instead of adopting them. */
    @Test
    public void testClaim_runsAreTakenOver() {
        PlacerFixture fixture = PlacerFixture.running(2, 900);
        holderWithJob(fixture, 4);
        fixture.timers.pass(500);
        Placer next = fixture.placer(2);
        next.offer(PlacerFixture.repeatedOffer(1, 4, 900));
        fixture.timers.pass(450);
        assertTrue(fixture.verdicts.contains("origin-1 1 DONE"), fixture.verdicts.toString());
        assertEquals(fixture.ledger.starts(), 4);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Part of the job has ended by then: what is not known to have ended is started again, and only that. */
    @Test
    public void testClaim_runsThatEndedMeanwhileAreNotStartedAgain() {
        PlacerFixture fixture = new PlacerFixture(2);
        fixture.endpoint(1).runMillis = 500;
        fixture.endpoint(2).runMillis = 900;
        Placer before = holderWithJob(fixture, 4);
        fixture.timers.pass(400);
        before.close();
        fixture.timers.pass(150);
        Placer next = fixture.placer(2);
        next.offer(PlacerFixture.repeatedOffer(1, 4, 900));
        fixture.timers.pass(400);
        assertTrue(fixture.verdicts.contains("origin-1 1 DONE"), fixture.verdicts.toString());
        assertEquals(fixture.ledger.starts(), 4);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Nobody asks for the job any more: its runs are stopped soon, and their room goes to others. */
    @Test
    public void testClaim_runsThatNobodyAsksFor() {
        PlacerFixture fixture = PlacerFixture.running(1, 5_000);
        holderWithJob(fixture, 2);
        fixture.timers.pass(50);
        Placer next = fixture.placer(2);
        fixture.endpoint(1).runMillis = 60;
        next.offer(PlacerFixture.offer(2, 2));
        fixture.timers.pass(250);
        assertTrue(fixture.verdicts.contains("origin-1 2 DONE"), fixture.verdicts.toString());
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against tasks that run twice since the endpoint with the earlier runs is not listed yet. */
    @Test
    public void testOffer_earlierRunsOnAnEndpointThatIsNotListed() {
        PlacerFixture fixture = PlacerFixture.running(2, 400);
        Placer inside = fixture.placerOfEndpoint(1, 1);
        fixture.timers.pass(10);
        inside.offer(PlacerFixture.firstOffer(1, 1, 400));
        fixture.timers.pass(5);
        fixture.listsWhole = false;
        Placer outside = fixture.placerOfEndpoint(2, 2);
        fixture.timers.pass(5);
        outside.offer(PlacerFixture.repeatedOffer(1, 1, 400));
        fixture.timers.pass(2_500);
        assertTrue(fixture.verdicts.contains("origin-1 1 DONE"), fixture.verdicts.toString());
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against runs that are stopped, not adopted, because another endpoint does not answer. */
    @Test
    public void testClaim_runsAreAdoptedWhileAnEndpointIsSilent() {
        PlacerFixture fixture = new PlacerFixture(3);
        fixture.endpoint(1).runMillis = 900;
        fixture.endpoint(2).runMillis = 900;
        holderWithJob(fixture, 4);
        fixture.timers.pass(500);
        fixture.setWay(3, FakeOrders.Way.CUT);
        Placer next = fixture.placer(2);
        next.offer(PlacerFixture.repeatedOffer(1, 4, 900));
        fixture.timers.pass(450);
        assertTrue(fixture.verdicts.contains("origin-1 1 DONE"), fixture.verdicts.toString());
        assertEquals(fixture.ledger.starts(), 4);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against tasks on a silent endpoint that start elsewhere before their lease is over. */
    @Test
    public void testClaim_tasksOnASilentEndpointWaitForTheirLease() {
        PlacerFixture fixture = new PlacerFixture(2);
        fixture.endpoint(1).runMillis = 900;
        fixture.endpoint(2).runMillis = 5_000;
        holderWithJob(fixture, 4);
        fixture.timers.pass(500);
        fixture.setWay(2, FakeOrders.Way.CUT);
        Placer next = fixture.placer(2);
        next.offer(PlacerFixture.repeatedOffer(1, 4, 900));
        fixture.timers.pass(2_100);
        assertTrue(fixture.verdicts.contains("origin-1 1 DONE"), fixture.verdicts.toString());
        assertEquals(fixture.ledger.starts(), 6);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against jobs that never started and are given back as if they may have run. */
    @Test
    public void testRelease_jobsThatNeverStartedAreReturned() {
        PlacerFixture fixture = new PlacerFixture(1);
        Placer placer = fixture.openedPlacer(1);
        placer.offer(PlacerFixture.offer(1, 2));
        placer.offer(PlacerFixture.offer(2, 2));
        fixture.timers.pass(5);
        placer.release(PlacerFixture.SHARD);
        assertTrue(fixture.verdicts.contains("origin-1 1 HOLD_LOST"), fixture.verdicts.toString());
        assertTrue(fixture.verdicts.contains("origin-1 2 RETURNED"), fixture.verdicts.toString());
    }

    /** A job whose earlier runs are not traced yet is given back as one that may run. */
    @Test
    public void testRelease_jobWithEarlierRunsMayRun() {
        PlacerFixture fixture = new PlacerFixture(1);
        fixture.setWay(1, FakeOrders.Way.CUT);
        Placer placer = fixture.placer(1);
        placer.offer(PlacerFixture.repeatedOffer(1, 1, 60));
        fixture.timers.pass(20);
        placer.release(PlacerFixture.SHARD);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 HOLD_LOST"));
    }

    /** Guards against an endpoint that is polled twice over while it is busy because a run was adopted there. */
    @Test
    public void testAdopt_onePollAtATime() {
        PlacerFixture fixture = PlacerFixture.running(1, 900);
        Placer before = holderWithJob(fixture, 1);
        fixture.timers.pass(50);
        before.close();
        Placer next = fixture.placer(2);
        next.offer(PlacerFixture.repeatedOffer(1, 1, 900));
        fixture.timers.pass(50);
        int[] polls = {0};
        fixture.orders.holdWay = () -> {
            polls[0]++;
            return FakeOrders.Way.CLEAR;
        };
        fixture.timers.pass(500);
        assertTrue(polls[0] <= 5, polls[0] + " polls that wait 100 ms each");
    }
}
