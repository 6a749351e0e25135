package org.tarragonarch.core.placing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import org.testng.annotations.Test;

/** Tests holders that claim and release shards, one at a time or all at once. */
public final class PlacerHandOverTest {
    /** Returns a holder that is offered a job as soon as it has read the lists of its endpoints. */
    private static Placer holderWithJob(PlacerFixture fixture, int tasks) {
        Placer holder = fixture.openedPlacer(1);
        holder.offer(PlacerFixture.firstOffer(1, tasks, 900));
        return holder;
    }

    /** Guards against a job of five tasks that runs in two waves because each shard has only four slots. */
    @Test
    public void testOpen_twoShardsAreOnePool() {
        PlacerFixture fixture = new PlacerFixture(4);
        Placer placer = fixture.placerOfTwoShards(1, 2);
        fixture.timers.advance(20);
        placer.offer(PlacerFixture.offer(1, 5));
        fixture.timers.advance(90);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against tasks of a released shard that start elsewhere before their lease has expired. */
    @Test
    public void testRelease_tasksOfTheShardStartElsewhereAfterTheirLease() {
        PlacerFixture fixture = PlacerFixture.running(2, 900);
        Placer placer = fixture.placerOfTwoShards(1, 2);
        fixture.timers.advance(20);
        placer.offer(PlacerFixture.firstOffer(1, 4, 900));
        fixture.timers.advance(20);
        placer.release(PlacerFixture.SECOND_SHARD);
        fixture.timers.advance(1_000);
        assertEquals(fixture.verdicts, ImmutableList.of());
        fixture.timers.advance(1_900);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 DONE"));
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against tasks that start elsewhere while the next holder of their shard renews their leases. */
    @Test
    public void testRelease_nextHolderRenewsLeaseOfRuns() {
        assertEquals(playReleases(0), ImmutableList.of());
    }

    /** The same, while the next holder's orders to stop these runs are lost. */
    @Test
    public void testRelease_nextHolderRenewsLeaseOfRunsAndStopsAreLost() {
        assertEquals(playReleases(2_000), ImmutableList.of());
    }

    /**
     * Releases one of two shards with a run, lets another holder claim it after various times and offers that holder a
     * job of its own; returns what ran twice.
     */
    private static ImmutableList<String> playReleases(long stopsLostMillis) {
        ImmutableList.Builder<String> broken = ImmutableList.builder();
        for (long claimedAfterMillis = 0; claimedAfterMillis < 1_100; claimedAfterMillis += 20) {
            PlacerFixture fixture = PlacerFixture.running(3, 500);
            fixture.endpoint(3).runMillis = 5_000;
            Placer placer = fixture.placerOfTwoShards(1, 3);
            fixture.timers.advance(20);
            placer.offer(PlacerFixture.firstOffer(1, 5, 500));
            fixture.timers.advance(20);
            assertEquals(fixture.endpoint(3).running(), 1);
            placer.release(PlacerFixture.SECOND_SHARD);
            fixture.timers.advance(claimedAfterMillis);
            long lostUntilMillis = fixture.timers.nowMillis() + stopsLostMillis;
            fixture.orders.stopFault =
                    () -> fixture.timers.nowMillis() < lostUntilMillis ? FakeOrders.Fault.LOST : FakeOrders.Fault.NONE;
            Placer next = fixture.placerOfEndpoint(3, 2);
            fixture.timers.advance(20);
            next.offer(PlacerFixture.patientOffer(2, 1, 5_000));
            fixture.timers.advance(4_000);
            assertEquals(fixture.ledger.starts(), 7);
            if (!fixture.ledger.violations().isEmpty()) {
                broken.add("claimed after " + claimedAfterMillis + " ms: " + fixture.ledger.violations());
            }
        }
        return broken.build();
    }

    /** The release of the last shard gives every job back to its origin, which offers it to the next holder. */
    @Test
    public void testRelease_lastShardGivesJobsBack() {
        PlacerFixture fixture = new PlacerFixture(2);
        Placer placer = fixture.placerOfTwoShards(1, 2);
        fixture.timers.advance(20);
        placer.offer(PlacerFixture.offer(1, 1));
        placer.release(PlacerFixture.SECOND_SHARD);
        placer.release(PlacerFixture.SHARD);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 HOLD_LOST"));
        fixture.timers.advance(3_000);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 HOLD_LOST"));
    }

    /** Guards against tasks that run twice on an endpoint that the holder has not reached since its claim. */
    @Test
    public void testOffer_earlierRunsOnAnUnreachableEndpoint() {
        PlacerFixture fixture = PlacerFixture.running(2, 900);
        fixture.setFault(2, FakeOrders.Fault.LOST);
        Placer holder = fixture.placer(2);
        fixture.timers.advance(5_000);
        fixture.setFault(2, FakeOrders.Fault.NONE);
        Placer earlier = fixture.placerOfEndpoint(2, 1);
        fixture.timers.advance(5);
        earlier.offer(PlacerFixture.firstOffer(1, 1, 900));
        fixture.timers.advance(5);
        assertEquals(fixture.endpoint(2).running(), 1);
        holder.offer(PlacerFixture.repeatedOffer(1, 1, 900));
        fixture.timers.advance(3_000);
        assertTrue(fixture.verdicts.contains("origin-1 1 DONE"), fixture.verdicts.toString());
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against tasks that run twice because the holder has released the shard with the earlier runs. */
    @Test
    public void testOffer_earlierRunsInAReleasedShard() {
        PlacerFixture fixture = PlacerFixture.running(2, 300);
        Placer inside = fixture.placerOfEndpoint(1, 1);
        fixture.timers.advance(10);
        inside.offer(PlacerFixture.firstOffer(1, 1, 300));
        Placer outside = fixture.placerOfTwoShards(2, 2);
        outside.release(PlacerFixture.SHARD);
        fixture.timers.advance(5);
        outside.offer(PlacerFixture.repeatedOffer(1, 1, 300));
        fixture.timers.advance(2_000);
        assertTrue(fixture.verdicts.contains("origin-1 1 DONE"), fixture.verdicts.toString());
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** The stops of an earlier holder's runs are lost: they are sent again, and nothing starts before their answers. */
    @Test
    public void testClaim_stopsOfEarlierRunsAreLost() {
        PlacerFixture fixture = PlacerFixture.running(1, 5_000);
        holderWithJob(fixture, 2);
        fixture.timers.advance(50);
        int[] stops = {0};
        fixture.orders.stopFault = () -> stops[0]++ < 2 ? FakeOrders.Fault.LOST : FakeOrders.Fault.NONE;
        Placer next = fixture.placer(2);
        fixture.endpoint(1).runMillis = 60;
        next.offer(PlacerFixture.offer(2, 2));
        fixture.timers.advance(400);
        assertTrue(fixture.verdicts.contains("origin-1 2 DONE"), fixture.verdicts.toString());
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
        assertEquals(stops[0], 4);
    }

    /** Guards against runs that the next holder stops and restarts instead of adopting them. */
    @Test
    public void testClaim_runsAreAdopted() {
        PlacerFixture fixture = PlacerFixture.running(2, 900);
        holderWithJob(fixture, 4);
        fixture.timers.advance(500);
        Placer next = fixture.placer(2);
        next.offer(PlacerFixture.repeatedOffer(1, 4, 900));
        fixture.timers.advance(450);
        assertTrue(fixture.verdicts.contains("origin-1 1 DONE"), fixture.verdicts.toString());
        assertEquals(fixture.ledger.starts(), 4);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against tasks that are started again although the endpoint lists that they are done. */
    @Test
    public void testClaim_endedRunsAreNotStartedAgain() {
        PlacerFixture fixture = new PlacerFixture(2);
        fixture.endpoint(1).runMillis = 500;
        fixture.endpoint(2).runMillis = 900;
        Placer before = holderWithJob(fixture, 4);
        fixture.timers.advance(400);
        before.close();
        fixture.timers.advance(150);
        Placer next = fixture.placer(2);
        next.offer(PlacerFixture.repeatedOffer(1, 4, 900));
        fixture.timers.advance(400);
        assertTrue(fixture.verdicts.contains("origin-1 1 DONE"), fixture.verdicts.toString());
        assertEquals(fixture.ledger.starts(), 4);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** The runs of a job that is not offered to the next holder are stopped soon, which frees their capacity. */
    @Test
    public void testClaim_unclaimedRunsAreStopped() {
        PlacerFixture fixture = PlacerFixture.running(1, 5_000);
        holderWithJob(fixture, 2);
        fixture.timers.advance(50);
        Placer next = fixture.placer(2);
        fixture.endpoint(1).runMillis = 60;
        next.offer(PlacerFixture.offer(2, 2));
        fixture.timers.advance(250);
        assertTrue(fixture.verdicts.contains("origin-1 2 DONE"), fixture.verdicts.toString());
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against tasks that run twice because the endpoint with the earlier runs is not listed yet. */
    @Test
    public void testOffer_earlierRunsOnAnUnlistedEndpoint() {
        PlacerFixture fixture = PlacerFixture.running(2, 400);
        Placer inside = fixture.placerOfEndpoint(1, 1);
        fixture.timers.advance(10);
        inside.offer(PlacerFixture.firstOffer(1, 1, 400));
        fixture.timers.advance(5);
        fixture.listsComplete = false;
        Placer outside = fixture.placerOfEndpoint(2, 2);
        fixture.timers.advance(5);
        outside.offer(PlacerFixture.repeatedOffer(1, 1, 400));
        fixture.timers.advance(2_500);
        assertTrue(fixture.verdicts.contains("origin-1 1 DONE"), fixture.verdicts.toString());
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against runs that are stopped instead of adopted because another endpoint does not answer. */
    @Test
    public void testClaim_runsAreAdoptedWhileAnEndpointIsSilent() {
        PlacerFixture fixture = new PlacerFixture(3);
        fixture.endpoint(1).runMillis = 900;
        fixture.endpoint(2).runMillis = 900;
        holderWithJob(fixture, 4);
        fixture.timers.advance(500);
        fixture.setFault(3, FakeOrders.Fault.LOST);
        Placer next = fixture.placer(2);
        next.offer(PlacerFixture.repeatedOffer(1, 4, 900));
        fixture.timers.advance(450);
        assertTrue(fixture.verdicts.contains("origin-1 1 DONE"), fixture.verdicts.toString());
        assertEquals(fixture.ledger.starts(), 4);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against tasks on a silent endpoint that start elsewhere before their lease has expired. */
    @Test
    public void testClaim_tasksOnASilentEndpointWaitForTheirLease() {
        PlacerFixture fixture = new PlacerFixture(2);
        fixture.endpoint(1).runMillis = 900;
        fixture.endpoint(2).runMillis = 5_000;
        holderWithJob(fixture, 4);
        fixture.timers.advance(500);
        fixture.setFault(2, FakeOrders.Fault.LOST);
        Placer next = fixture.placer(2);
        next.offer(PlacerFixture.repeatedOffer(1, 4, 900));
        fixture.timers.advance(2_100);
        assertTrue(fixture.verdicts.contains("origin-1 1 DONE"), fixture.verdicts.toString());
        assertEquals(fixture.ledger.starts(), 6);
        assertEquals(fixture.ledger.violations(), ImmutableList.of());
    }

    /** Guards against jobs that never started but are given back as if they may have run. */
    @Test
    public void testRelease_jobsThatNeverStartedAreReturned() {
        PlacerFixture fixture = new PlacerFixture(1);
        Placer placer = fixture.openedPlacer(1);
        placer.offer(PlacerFixture.offer(1, 2));
        placer.offer(PlacerFixture.offer(2, 2));
        fixture.timers.advance(5);
        placer.release(PlacerFixture.SHARD);
        assertTrue(fixture.verdicts.contains("origin-1 1 HOLD_LOST"), fixture.verdicts.toString());
        assertTrue(fixture.verdicts.contains("origin-1 2 RETURNED"), fixture.verdicts.toString());
    }

    /** A job whose earlier runs are not resolved yet is given back as one that may have run. */
    @Test
    public void testRelease_jobWithUnresolvedRunsIsNotReturned() {
        PlacerFixture fixture = new PlacerFixture(1);
        fixture.setFault(1, FakeOrders.Fault.LOST);
        Placer placer = fixture.placer(1);
        placer.offer(PlacerFixture.repeatedOffer(1, 1, 60));
        fixture.timers.advance(20);
        placer.release(PlacerFixture.SHARD);
        assertEquals(fixture.verdicts, ImmutableList.of("origin-1 1 HOLD_LOST"));
    }

    /** Guards against two concurrent poll loops to one endpoint after it adopted a run. */
    @Test
    public void testAdopt_onePollAtATime() {
        PlacerFixture fixture = PlacerFixture.running(1, 900);
        Placer before = holderWithJob(fixture, 1);
        fixture.timers.advance(50);
        before.close();
        Placer next = fixture.placer(2);
        next.offer(PlacerFixture.repeatedOffer(1, 1, 900));
        fixture.timers.advance(50);
        int[] polls = {0};
        fixture.orders.pollFault = () -> {
            polls[0]++;
            return FakeOrders.Fault.NONE;
        };
        fixture.timers.advance(500);
        assertTrue(polls[0] <= 5, polls[0] + " polls that wait 100 ms each");
    }
}
