package org.tarragonarch.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.JobService;
import org.tarragonarch.model.task.JobVerdict;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskStep;
import org.tarragonarch.model.task.Verdict;
import org.testng.annotations.Test;

/** Routing of the jobs of one node's clients while holders are lost, return jobs or decline them. */
public final class JobRouterTest {
    private static final JobId JOB = new JobId("00000000000000aa");
    private static final QueueDefinition QUEUE = new QueueDefinition("q", "h", "/p/", "s", 0, 3, 1.6, 60);

    private final VirtualTimers timers = new VirtualTimers();
    private final FakeHolders holders = new FakeHolders(timers);
    private final JobRouter router =
            new JobRouter(holders, timers, 1_050, 0, new CancelledJobs(timers, 120_000), new RoutingObserver() {});
    private final List<String> replies = new ArrayList<>();

    private JobService.Submission submit(long deadlineMillis) {
        TaskStep step = new TaskStep(2, new Resources(7_000, 64, 0), 60);
        return router.submit(
                QUEUE,
                new JobRequest(JOB, "x", step),
                deadlineMillis,
                reply -> replies.add(reply.outcome() + (reply.retryMillis() > 0 ? " " + reply.retryMillis() : "")));
    }

    private static JobRouterTest fresh() {
        return new JobRouterTest();
    }

    /** Returns a node with one holder, to which a job was offered. */
    private static JobRouterTest offered(long deadlineMillis) {
        JobRouterTest test = fresh();
        test.holders.add("a", "hobart", 1);
        test.submit(deadlineMillis);
        return test;
    }

    /** Returns a node with two holders, to the first of which a job was offered. */
    private static JobRouterTest offeredToTwo(long deadlineMillis) {
        JobRouterTest test = fresh();
        test.holders.add("a", "hobart", 1);
        test.holders.add("b", "launceston", 1);
        test.submit(deadlineMillis);
        return test;
    }

    private void settled(String holder, Verdict verdict, long retryMillis) {
        router.settled(NodeId.of(holder), holders.verdictOn(JOB, verdict, retryMillis));
    }

    @Test
    public void testSubmit_done() {
        JobRouterTest test = offered(2_000);
        test.settled("a", Verdict.DONE, 0);
        assertEquals(test.replies, ImmutableList.of("DONE"));
        assertEquals(test.router.openJobs(), 0);
    }

    /** Guards against a job that waits after all holders declined it, or is refused with a longer retry delay. */
    @Test
    public void testSubmit_declinedByAll() {
        JobRouterTest test = offeredToTwo(2_000);
        test.settled("a", Verdict.DECLINED, 300);
        test.settled("b", Verdict.DECLINED, 200);
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer b"));
        assertEquals(test.replies, ImmutableList.of("REFUSED 200"));
    }

    /** Guards against a job of a drained domain that waits for runs that its holder has already stopped. */
    @Test
    public void testSettled_evictedJobGoesElsewhereAtOnce() {
        JobRouterTest test = offeredToTwo(2_000);
        test.settled("a", Verdict.EVICTED, 0);
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer b"));
        test.settled("b", Verdict.DONE, 0);
        assertEquals(test.replies, ImmutableList.of("DONE"));
    }

    /** Guards against an answer of "has not run" for a job that was evicted from a drained domain after it ran. */
    @Test
    public void testSettled_evictedJobWithoutOtherHolderIsGivenUp() {
        JobRouterTest test = offered(2_000);
        test.settled("a", Verdict.EVICTED, 0);
        assertEquals(test.replies, ImmutableList.of("GIVEN_UP"));
    }

    /** Guards against jobs refused after the first decline although two more holders claim shards 150 ms later. */
    @Test
    public void testSubmit_declinedWhileHolderIsExpected() {
        JobRouterTest test = fresh();
        test.holders.isHolderExpected = true;
        test.holders.add("a", "hobart", 1);
        test.submit(4_000);
        test.settled("a", Verdict.DECLINED, 300);
        assertEquals(test.replies, ImmutableList.of());
        test.holders.add("b", "launceston", 1);
        test.router.holdersChanged();
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer b"));
    }

    /** Guards against a client that waits longer than 500 ms for an expected holder that never claims its shard. */
    @Test
    public void testSubmit_declinedAndExpectedHolderNeverClaims() {
        JobRouterTest test = fresh();
        test.holders.isHolderExpected = true;
        test.holders.add("a", "hobart", 1);
        test.submit(4_000);
        test.settled("a", Verdict.DECLINED, 300);
        test.timers.advance(501);
        assertEquals(test.replies, ImmutableList.of("REFUSED 300"));
    }

    /** Guards against a job offered to another shard while its runs may continue in the shard of the lost holder. */
    @Test
    public void testNodeLost_sameShardFirst() {
        JobRouterTest test = fresh();
        Holder lost = test.holders.add("a", "hobart", 1);
        test.holders.add("b", "launceston", 1);
        test.submit(4_000);
        test.holders.holders.remove(lost);
        test.router.nodeLost(NodeId.of("a"));
        assertEquals(test.holders.calls, ImmutableList.of("offer a"));
        test.holders.add("c", "hobart", 2);
        test.router.holdersChanged();
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer c over in 1050"));
    }

    /** Guards against tasks that run twice in a shard that the lost holder was not known to hold. */
    @Test
    public void testNodeLost_holderHadUnknownShard() {
        JobRouterTest test = fresh();
        Holder lost = test.holders.add("a", "hobart", 1);
        test.submit(4_000);
        test.holders.possiblyTaken.add(FailureDomain.of("launceston"));
        test.holders.holders.remove(lost);
        test.holders.add("c", "hobart", 2);
        test.settled("a", Verdict.HOLD_LOST, 0);
        assertEquals(test.holders.calls, ImmutableList.of("offer a"));
        test.timers.advance(1_100);
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer c"));
    }

    /** Guards against tasks that run twice because the lost holder had claimed its shard again under a higher token. */
    @Test
    public void testNodeLost_holderHadClaimedAgain() {
        JobRouterTest test = fresh();
        Holder lost = test.holders.add("a", "hobart", 1);
        test.submit(4_000);
        test.holders.holders.remove(lost);
        test.holders.add("b", "hobart", 2);
        test.holders.highestTerms.put(FailureDomain.of("hobart"), 3L);
        test.router.nodeLost(NodeId.of("a"));
        assertEquals(test.holders.calls, ImmutableList.of("offer a"));
        test.timers.advance(1_100);
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer b"));
    }

    /** Guards against a job that waits for a successor of its lost holder after its runs are certainly over. */
    @Test
    public void testNodeLost_noSuccessor() {
        JobRouterTest test = fresh();
        Holder lost = test.holders.add("a", "hobart", 1);
        test.submit(4_000);
        test.holders.holders.remove(lost);
        test.holders.add("b", "launceston", 1);
        test.router.nodeLost(NodeId.of("a"));
        test.timers.advance(1_000);
        assertEquals(test.holders.calls, ImmutableList.of("offer a"));
        test.timers.advance(100);
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer b"));
    }

    /** Guards against a job that is never offered again to the holder of its own domain, which declined it once. */
    @Test
    public void testNodeLost_decliningHolderIsOfferedTheJobAgain() {
        JobRouterTest test = fresh();
        test.holders.add("a", "hobart", 1);
        Holder lost = test.holders.add("b", "launceston", 1);
        test.submit(4_000);
        test.settled("a", Verdict.DECLINED, 300);
        test.holders.holders.remove(lost);
        test.router.nodeLost(NodeId.of("b"));
        test.timers.advance(1_100);
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer b", "offer a"));
        test.settled("a", Verdict.DECLINED, 300);
        assertEquals(test.replies, ImmutableList.of("GIVEN_UP"));
    }

    /** Guards against a returned job that waits, or is offered again to the holder that returned it. */
    @Test
    public void testSettled_returnedJobGoesToAnotherHolderAtOnce() {
        JobRouterTest test = offeredToTwo(4_000);
        test.settled("a", Verdict.RETURNED, 0);
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer b"));
    }

    /** Guards against a returned job that is refused before the next holder of its domain has claimed the shard. */
    @Test
    public void testSettled_returnedJobWaitsForNextHolder() {
        JobRouterTest test = fresh();
        Holder leaving = test.holders.add("a", "hobart", 1);
        test.holders.add("b", "launceston", 1);
        test.submit(4_000);
        test.settled("a", Verdict.RETURNED, 0);
        test.settled("b", Verdict.DECLINED, 300);
        test.holders.holders.remove(leaving);
        test.holders.add("c", "hobart", 2);
        test.router.holdersChanged();
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer b", "offer c"));
        test.settled("c", Verdict.DECLINED, 200);
        assertEquals(test.replies, ImmutableList.of("REFUSED 200"));
    }

    /** Guards against a returned job that waits until its deadline although no holder is left. */
    @Test
    public void testSettled_returnedJobWithoutHolderIsRefused() {
        JobRouterTest test = fresh();
        Holder leaving = test.holders.add("a", "hobart", 1);
        test.submit(4_000);
        test.timers.advance(1_000);
        test.settled("a", Verdict.RETURNED, 0);
        test.holders.holders.remove(leaving);
        test.timers.advance(510);
        assertEquals(test.replies, ImmutableList.of("REFUSED 1000"));
    }

    /** Guards against clients that wait at a node that is partitioned from every other and cannot reach a holder. */
    @Test
    public void testSubmit_partitionedNodeRefusesAtOnce() {
        JobRouterTest test = fresh();
        test.holders.isHolderUnreachable = true;
        test.submit(4_000);
        assertEquals(test.replies, ImmutableList.of("REFUSED 1000"));
    }

    /** Guards against a refusal of a job that may have run, which tells its client that no task has started. */
    @Test
    public void testDeadline_afterHolderLost() {
        JobRouterTest test = fresh();
        Holder lost = test.holders.add("a", "hobart", 1);
        test.submit(800);
        test.holders.holders.remove(lost);
        test.router.nodeLost(NodeId.of("a"));
        test.timers.advance(1_000);
        assertEquals(test.replies, ImmutableList.of("GIVEN_UP"));
    }

    /** Guards against a job that waits until its deadline although no shard has a holder. */
    @Test
    public void testSubmit_noHolder() {
        JobRouterTest test = fresh();
        test.submit(4_000);
        test.timers.advance(600);
        assertEquals(test.replies, ImmutableList.of("REFUSED 1000"));
    }

    @Test
    public void testOfferNotSent_nextHolder() {
        JobRouterTest test = fresh();
        Holder unreachable = test.holders.add("a", "hobart", 1);
        test.submit(2_000);
        test.holders.holders.remove(unreachable);
        test.holders.add("b", "launceston", 1);
        test.router.offerNotSent(NodeId.of("a"), JOB);
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer b"));
    }

    /** Guards against a second run of a job that is submitted again after its answer. */
    @Test
    public void testSubmit_resubmittedAfterAnswer() {
        JobRouterTest test = offered(2_000);
        test.settled("a", Verdict.DONE, 0);
        test.submit(2_000);
        assertEquals(test.replies, ImmutableList.of("DONE", "DONE"));
        assertEquals(test.holders.calls, ImmutableList.of("offer a"));
    }

    @Test
    public void testClientLeft_withdraws() {
        JobRouterTest test = fresh();
        test.holders.add("a", "hobart", 1);
        test.submit(2_000).clientLeft();
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "withdraw a"));
        assertEquals(test.router.openJobs(), 0);
    }

    /** Guards against a late verdict of a former holder that answers a job which another holder now has. */
    @Test
    public void testSettled_byFormerHolder() {
        JobRouterTest test = fresh();
        Holder lost = test.holders.add("a", "hobart", 1);
        test.submit(4_000);
        test.holders.holders.remove(lost);
        test.holders.add("c", "hobart", 2);
        test.router.nodeLost(NodeId.of("a"));
        test.settled("a", Verdict.DONE, 0);
        assertEquals(test.replies, ImmutableList.of());
    }

    @Test
    public void testCancel() {
        JobRouterTest test = offered(2_000);
        assertTrue(test.router.cancel(JOB, CancelSource.CLIENT));
        assertFalse(test.router.cancel(new JobId("00000000000000bb"), CancelSource.CLIENT));
        assertEquals(test.replies, ImmutableList.of("CANCELLED"));
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "withdraw a"));
    }

    /** Guards against connections of a stopping node that close without an answer to open jobs. */
    @Test
    public void testGiveUpAll_leavingNode() {
        JobRouterTest test = offered(4_000);
        test.router.refuseNewJobs();
        TaskStep step = new TaskStep(1, new Resources(7_000, 64, 0), 60);
        test.router.submit(
                QUEUE,
                new JobRequest(new JobId("00000000000000cc"), "x", step),
                2_000,
                reply -> test.replies.add("late " + reply.outcome()));
        test.router.giveUpAll();
        assertEquals(test.replies, ImmutableList.of("late REFUSED", "GIVEN_UP"));
    }

    /** Guards against a job that is offered elsewhere, while it runs, by a late verdict on an earlier offer of it. */
    @Test
    public void testSettled_lateVerdictOnEarlierOffer() {
        JobRouterTest test = offeredToTwo(5_000);
        JobVerdict late = test.holders.verdictOn(JOB, Verdict.DECLINED, 300);
        test.router.nodeLost(NodeId.of("a"));
        test.timers.advance(1_050);
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer a"));
        test.router.settled(NodeId.of("a"), late);
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer a"));
        test.settled("a", Verdict.DONE, 0);
        assertEquals(test.replies, ImmutableList.of("DONE"));
    }

    /** Guards against a job that waits for the end of its runs although the lost holder has returned and knows them. */
    @Test
    public void testNodeLost_holderReturnsUnderSameToken() {
        JobRouterTest test = offeredToTwo(5_000);
        Holder holder = test.holders.holders.remove(0);
        test.router.nodeLost(NodeId.of("a"));
        test.timers.advance(100);
        test.holders.holders.add(0, holder);
        test.router.holdersChanged();
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer a"));
        test.settled("a", Verdict.DECLINED, 300);
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer a", "offer b"));
    }

    /** Guards against a job that is exchanged endlessly with a holder whose last status is older than its verdict. */
    @Test
    public void testSettled_holdLostBeforeStatusOfHolder() {
        JobRouterTest test = offered(5_000);
        test.settled("a", Verdict.HOLD_LOST, 0);
        assertEquals(test.holders.calls, ImmutableList.of("offer a"));
        test.router.holdersChanged();
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer a"));
    }

    /** Guards against a job that is said not to have run although the returned holder had started it. */
    @Test
    public void testNodeLost_returnedHolderDeclines() {
        JobRouterTest test = offered(5_000);
        test.router.nodeLost(NodeId.of("a"));
        test.router.holdersChanged();
        test.settled("a", Verdict.DECLINED, 300);
        assertEquals(test.replies, ImmutableList.of("GIVEN_UP"));
    }

    /** Guards against two runs: a returned holder does not know the runs of the holder that was lost before it. */
    @Test
    public void testNodeLost_returnedHolderHadJobOfEarlierLostHolder() {
        JobRouterTest test = offered(5_000);
        test.holders.holders.clear();
        test.router.nodeLost(NodeId.of("a"));
        test.holders.add("b", "hobart", 2);
        test.router.holdersChanged();
        test.timers.advance(100);
        test.router.nodeLost(NodeId.of("b"));
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer b over in 1050", "offer b over in 950"));
    }

    /** Guards against a job that waits until its deadline because its offer was lost with a connection. */
    @Test
    public void testConnectionLost_offerIsSentAgain() {
        JobRouterTest test = offered(5_000);
        assertEquals(test.router.offersToSendAgain(NodeId.of("a")), ImmutableList.of());
        test.timers.advance(100);
        test.router.connectionLost(NodeId.of("a"));
        Offer again = Iterables.getOnlyElement(test.router.offersToSendAgain(NodeId.of("a")));
        assertEquals(again.ageMillis(), 100);
        assertEquals(again.deadlineMillis(), 4_900);
        assertEquals(
                again.number(), test.holders.verdictOn(JOB, Verdict.DONE, 0).offer());
        assertEquals(test.router.offersToSendAgain(NodeId.of("a")), ImmutableList.of());
    }

    /** Guards against two runs of a job whose offer arrived although it could not be sent a second time. */
    @Test
    public void testOfferNotSent_afterItWasSentBefore() {
        JobRouterTest test = offeredToTwo(5_000);
        test.router.connectionLost(NodeId.of("a"));
        test.router.offersToSendAgain(NodeId.of("a"));
        test.router.offerNotSent(NodeId.of("a"), JOB);
        assertEquals(test.holders.calls, ImmutableList.of("offer a"));
        assertEquals(test.router.offersToSendAgain(NodeId.of("a")).size(), 1);
    }
}
