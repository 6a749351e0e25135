package org.tarragonarch.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.JobService;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskStep;
import org.tarragonarch.model.task.Verdict;
import org.testng.annotations.Test;

/** The jobs of one node's clients, with holders that come and go. */
public final class JobRouterTest {
    private static final JobId JOB = new JobId("00000000000000aa");
    private static final QueueDefinition QUEUE = new QueueDefinition("q", "h", "/p/", "s", 0, 3, 1.6, 60);

    private final VirtualTimers timers = new VirtualTimers();
    private final FakeHolders holders = new FakeHolders();
    private final JobRouter router = new JobRouter(holders, timers, 1_050, new RoutingObserver() {});
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

    /** Returns a node with one holder, which was offered a job. */
    private static JobRouterTest offered(long deadlineMillis) {
        JobRouterTest test = fresh();
        test.holders.add("a", "hobart", 1);
        test.submit(deadlineMillis);
        return test;
    }

    /** Returns a node with two holders, of which the first was offered a job. */
    private static JobRouterTest offeredToTwo(long deadlineMillis) {
        JobRouterTest test = fresh();
        test.holders.add("a", "hobart", 1);
        test.holders.add("b", "launceston", 1);
        test.submit(deadlineMillis);
        return test;
    }

    private void settled(String holder, Verdict verdict, long retryMillis) {
        router.settled(NodeId.of(holder), JOB, verdict, retryMillis);
    }

    @Test
    public void testSubmit_done() {
        JobRouterTest test = offered(2_000);
        test.settled("a", Verdict.DONE, 0);
        assertEquals(test.replies, ImmutableList.of("DONE"));
        assertEquals(test.router.openJobs(), 0);
    }

    /** Every shard declines: the client learns at once, with the soonest time at which there should be room. */
    @Test
    public void testSubmit_declinedByAll() {
        JobRouterTest test = offeredToTwo(2_000);
        test.settled("a", Verdict.DECLINED, 300);
        test.settled("b", Verdict.DECLINED, 200);
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer b"));
        assertEquals(test.replies, ImmutableList.of("REFUSED 200"));
    }

    /** Guards against a job of a drained domain that waits for runs which its holder has stopped already. */
    @Test
    public void testSettled_evictedJobGoesElsewhereAtOnce() {
        JobRouterTest test = offeredToTwo(2_000);
        test.settled("a", Verdict.EVICTED, 0);
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer b"));
        test.settled("b", Verdict.DONE, 0);
        assertEquals(test.replies, ImmutableList.of("DONE"));
    }

    /** Guards against "has not run" for a job that ran in a drained domain before nobody else took it. */
    @Test
    public void testSettled_evictedJobWithoutOtherHolderIsGivenUp() {
        JobRouterTest test = offered(2_000);
        test.settled("a", Verdict.EVICTED, 0);
        assertEquals(test.replies, ImmutableList.of("GIVEN_UP"));
    }

    /** Guards against jobs refused after the first decline while two more holders come 150 ms later. */
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

    /** The same, and nobody comes: the client is told when the first holder should have room, and not held for long. */
    @Test
    public void testSubmit_declinedAndExpectedHolderNeverClaims() {
        JobRouterTest test = fresh();
        test.holders.isHolderExpected = true;
        test.holders.add("a", "hobart", 1);
        test.submit(4_000);
        test.settled("a", Verdict.DECLINED, 300);
        test.timers.pass(501);
        assertEquals(test.replies, ImmutableList.of("REFUSED 300"));
    }

    /** Guards against a job offered to another shard while its runs may go on in that of the lost holder. */
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
        test.timers.pass(1_100);
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer c"));
    }

    /** Guards against tasks that run twice since the lost holder had claimed again under a higher token. */
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
        test.timers.pass(1_100);
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer b"));
    }

    /** The lost holder's shard finds no successor: when its runs are over the job goes to another shard. */
    @Test
    public void testNodeLost_noSuccessor() {
        JobRouterTest test = fresh();
        Holder lost = test.holders.add("a", "hobart", 1);
        test.submit(4_000);
        test.holders.holders.remove(lost);
        test.holders.add("b", "launceston", 1);
        test.router.nodeLost(NodeId.of("a"));
        test.timers.pass(1_000);
        assertEquals(test.holders.calls, ImmutableList.of("offer a"));
        test.timers.pass(100);
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer b"));
    }

    /** Guards against a job that no holder is offered again since its own domain declined it once. */
    @Test
    public void testNodeLost_decliningHolderIsOfferedTheJobAgain() {
        JobRouterTest test = fresh();
        test.holders.add("a", "hobart", 1);
        Holder lost = test.holders.add("b", "launceston", 1);
        test.submit(4_000);
        test.settled("a", Verdict.DECLINED, 300);
        test.holders.holders.remove(lost);
        test.router.nodeLost(NodeId.of("b"));
        test.timers.pass(1_100);
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer b", "offer a"));
        test.settled("a", Verdict.DECLINED, 300);
        assertEquals(test.replies, ImmutableList.of("GIVEN_UP"));
    }

    /** Guards against a returned job that waits, or goes back to the holder that returned it. */
    @Test
    public void testSettled_returnedJobGoesToAnotherHolderAtOnce() {
        JobRouterTest test = offeredToTwo(4_000);
        test.settled("a", Verdict.RETURNED, 0);
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "offer b"));
    }

    /** No other holder takes it: it waits for the next holder of its domain, and is told the truth if none comes. */
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

    /** Guards against a returned job without a holder that is kept until its deadline. */
    @Test
    public void testSettled_returnedJobWithoutHolderIsRefused() {
        JobRouterTest test = fresh();
        Holder leaving = test.holders.add("a", "hobart", 1);
        test.submit(4_000);
        test.timers.pass(1_000);
        test.settled("a", Verdict.RETURNED, 0);
        test.holders.holders.remove(leaving);
        test.timers.pass(510);
        assertEquals(test.replies, ImmutableList.of("REFUSED 1000"));
    }

    /** The node is cut off from every other: no holder will be heard, so its callers are told at once to come back. */
    @Test
    public void testSubmit_partitionedNodeRefusesAtOnce() {
        JobRouterTest test = fresh();
        test.holders.isHolderUnreachable = true;
        test.submit(4_000);
        assertEquals(test.replies, ImmutableList.of("REFUSED 1000"));
    }

    /** A job that may have run is never said to be refused: its client would believe that nothing of it happened. */
    @Test
    public void testDeadline_afterHolderLost() {
        JobRouterTest test = fresh();
        Holder lost = test.holders.add("a", "hobart", 1);
        test.submit(800);
        test.holders.holders.remove(lost);
        test.router.nodeLost(NodeId.of("a"));
        test.timers.pass(1_000);
        assertEquals(test.replies, ImmutableList.of("GIVEN_UP"));
    }

    /** Nobody holds anything: the truth is that the job has not run, and it is told long before the deadline. */
    @Test
    public void testSubmit_noHolder() {
        JobRouterTest test = fresh();
        test.submit(4_000);
        test.timers.pass(600);
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

    /** The same job arrives a second time, after its answer: it gets the same answer and is not run again. */
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

    /** A verdict of a holder that lost the job comes late and must not answer for the one that has it now. */
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
        assertTrue(test.router.cancel(JOB));
        assertFalse(test.router.cancel(new JobId("00000000000000bb")));
        assertEquals(test.replies, ImmutableList.of("CANCELLED"));
        assertEquals(test.holders.calls, ImmutableList.of("offer a", "withdraw a"));
    }

    /** Guards against jobs of a stopping node that are cut off without an answer. */
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
}
