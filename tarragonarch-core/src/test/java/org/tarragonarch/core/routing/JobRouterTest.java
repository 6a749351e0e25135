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

    @Test
    public void testSubmit_done() {
        JobRouterTest test = fresh();
        test.holders.add("a", "hobart", 1);
        test.submit(2_000);
        test.router.settled(NodeId.of("a"), JOB, Verdict.DONE, 0);
        assertEquals(test.replies, ImmutableList.of("DONE"));
        assertEquals(test.router.openJobs(), 0);
    }

    /** Every shard declines: the client learns at once, with the soonest time at which there should be room. */
    @Test
    public void testSubmit_declinedByAll() {
        JobRouterTest test = fresh();
        test.holders.add("a", "hobart", 1);
        test.holders.add("b", "launceston", 1);
        test.submit(2_000);
        test.router.settled(NodeId.of("a"), JOB, Verdict.DECLINED, 300);
        test.router.settled(NodeId.of("b"), JOB, Verdict.DECLINED, 200);
        assertEquals(test.holders.asked, ImmutableList.of("offer a", "offer b"));
        assertEquals(test.replies, ImmutableList.of("REFUSED 200"));
    }

    /** Guards against a job of a drained domain that waits for runs which its holder has stopped already. */
    @Test
    public void testSettled_evictedJobGoesElsewhereAtOnce() {
        JobRouterTest test = fresh();
        test.holders.add("a", "hobart", 1);
        test.holders.add("b", "launceston", 1);
        test.submit(2_000);
        test.router.settled(NodeId.of("a"), JOB, Verdict.EVICTED, 0);
        assertEquals(test.holders.asked, ImmutableList.of("offer a", "offer b"));
        test.router.settled(NodeId.of("b"), JOB, Verdict.DONE, 0);
        assertEquals(test.replies, ImmutableList.of("DONE"));
    }

    /** Guards against "has not run" for a job that ran in a drained domain before nobody else took it. */
    @Test
    public void testSettled_evictedJobThatNobodyTakesMayHaveRun() {
        JobRouterTest test = fresh();
        test.holders.add("a", "hobart", 1);
        test.submit(2_000);
        test.router.settled(NodeId.of("a"), JOB, Verdict.EVICTED, 0);
        assertEquals(test.replies, ImmutableList.of("GIVEN_UP"));
    }

    /**
     * Every node starts at once. The first holder is offered the jobs of three domains and declines most of them; they
     * were refused on the spot, while the other two holders came 150 ms later and found nothing to do.
     */
    @Test
    public void testSubmit_declinedWhileAHolderIsExpected() {
        JobRouterTest test = fresh();
        test.holders.isHolderExpected = true;
        test.holders.add("a", "hobart", 1);
        test.submit(4_000);
        test.router.settled(NodeId.of("a"), JOB, Verdict.DECLINED, 300);
        assertEquals(test.replies, ImmutableList.of());
        test.holders.add("b", "launceston", 1);
        test.router.holdersChanged();
        assertEquals(test.holders.asked, ImmutableList.of("offer a", "offer b"));
    }

    /** The same, and nobody comes: the client is told when the first holder should have room, and not held for long. */
    @Test
    public void testSubmit_declinedAndTheExpectedHolderDoesNotCome() {
        JobRouterTest test = fresh();
        test.holders.isHolderExpected = true;
        test.holders.add("a", "hobart", 1);
        test.submit(4_000);
        test.router.settled(NodeId.of("a"), JOB, Verdict.DECLINED, 300);
        test.timers.pass(501);
        assertEquals(test.replies, ImmutableList.of("REFUSED 300"));
    }

    /**
     * A holder dies with a job under way. Another shard would run its tasks while the old runs still go on; so only the
     * next holder of the same shard, who sees them, gets it until they are certainly over.
     */
    @Test
    public void testNodeLost_sameShardFirst() {
        JobRouterTest test = fresh();
        Holder lost = test.holders.add("a", "hobart", 1);
        test.holders.add("b", "launceston", 1);
        test.submit(4_000);
        test.holders.holders.remove(lost);
        test.router.nodeLost(NodeId.of("a"));
        assertEquals(test.holders.asked, ImmutableList.of("offer a"));
        test.holders.add("c", "hobart", 2);
        test.router.holdersChanged();
        assertEquals(test.holders.asked, ImmutableList.of("offer a", "offer c over in 1050"));
    }

    /**
     * All nodes come back from a loss of power, and two of them claim the same shards for a moment. A holder that was
     * known for one of them gives up with runs in another. Whoever has taken over the first cannot see those runs; the
     * job's tasks would run twice if it began at once.
     */
    @Test
    public void testNodeLost_holderHadMoreThanWasKnown() {
        JobRouterTest test = fresh();
        Holder lost = test.holders.add("a", "hobart", 1);
        test.submit(4_000);
        test.holders.taken.add(FailureDomain.of("launceston"));
        test.holders.holders.remove(lost);
        test.holders.add("c", "hobart", 2);
        test.router.settled(NodeId.of("a"), JOB, Verdict.HOLD_LOST, 0);
        assertEquals(test.holders.asked, ImmutableList.of("offer a"));
        test.timers.pass(1_100);
        assertEquals(test.holders.asked, ImmutableList.of("offer a", "offer c"));
    }

    /**
     * A cut heals, and two nodes take a shard from each other. The one that has the job was fenced, has claimed once
     * more and started the job there when it is lost. The other one's token is above that under which the job was
     * offered and below the new one: it does not see that run, and would start the task a second time.
     */
    @Test
    public void testNodeLost_holderHadClaimedOnceMore() {
        JobRouterTest test = fresh();
        Holder lost = test.holders.add("a", "hobart", 1);
        test.submit(4_000);
        test.holders.holders.remove(lost);
        test.holders.add("b", "hobart", 2);
        test.holders.highestTerms.put(FailureDomain.of("hobart"), 3L);
        test.router.nodeLost(NodeId.of("a"));
        assertEquals(test.holders.asked, ImmutableList.of("offer a"));
        test.timers.pass(1_100);
        assertEquals(test.holders.asked, ImmutableList.of("offer a", "offer b"));
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
        assertEquals(test.holders.asked, ImmutableList.of("offer a"));
        test.timers.pass(100);
        assertEquals(test.holders.asked, ImmutableList.of("offer a", "offer b"));
    }

    /**
     * A full domain passes a job on to another, and is cut off from it at that moment. By the time the runs over there
     * are certainly over the own domain has room again, but had declined once, so the caller waited for its deadline.
     */
    @Test
    public void testNodeLost_thoseThatDeclinedAreAskedAgain() {
        JobRouterTest test = fresh();
        test.holders.add("a", "hobart", 1);
        Holder lost = test.holders.add("b", "launceston", 1);
        test.submit(4_000);
        test.router.settled(NodeId.of("a"), JOB, Verdict.DECLINED, 300);
        test.holders.holders.remove(lost);
        test.router.nodeLost(NodeId.of("b"));
        test.timers.pass(1_100);
        assertEquals(test.holders.asked, ImmutableList.of("offer a", "offer b", "offer a"));
        test.router.settled(NodeId.of("a"), JOB, Verdict.DECLINED, 300);
        assertEquals(test.replies, ImmutableList.of("GIVEN_UP"));
    }

    /**
     * A holder is stopped for an update and gives a job back that it has not started. Nothing of it can run, so it goes
     * to another holder at once; the one that gave it back looks like a holder until its next status is heard.
     */
    @Test
    public void testSettled_returnedJobGoesToAnotherHolderAtOnce() {
        JobRouterTest test = fresh();
        test.holders.add("a", "hobart", 1);
        test.holders.add("b", "launceston", 1);
        test.submit(4_000);
        test.router.settled(NodeId.of("a"), JOB, Verdict.RETURNED, 0);
        assertEquals(test.holders.asked, ImmutableList.of("offer a", "offer b"));
    }

    /** No other holder takes it: it waits for the next holder of its domain, and is told the truth if none comes. */
    @Test
    public void testSettled_returnedJobWaitsForTheNextHolder() {
        JobRouterTest test = fresh();
        Holder leaving = test.holders.add("a", "hobart", 1);
        test.holders.add("b", "launceston", 1);
        test.submit(4_000);
        test.router.settled(NodeId.of("a"), JOB, Verdict.RETURNED, 0);
        test.router.settled(NodeId.of("b"), JOB, Verdict.DECLINED, 300);
        test.holders.holders.remove(leaving);
        test.holders.add("c", "hobart", 2);
        test.router.holdersChanged();
        assertEquals(test.holders.asked, ImmutableList.of("offer a", "offer b", "offer c"));
        test.router.settled(NodeId.of("c"), JOB, Verdict.DECLINED, 200);
        assertEquals(test.replies, ImmutableList.of("REFUSED 200"));
    }

    /**
     * The only holder is stopped and gives a job back that has waited for a second, and no other holder comes. Its
     * caller was kept until its deadline, three seconds later, for an answer that was known.
     */
    @Test
    public void testSettled_returnedJobIsRefusedIfNobodyTakesIt() {
        JobRouterTest test = fresh();
        Holder leaving = test.holders.add("a", "hobart", 1);
        test.submit(4_000);
        test.timers.pass(1_000);
        test.router.settled(NodeId.of("a"), JOB, Verdict.RETURNED, 0);
        test.holders.holders.remove(leaving);
        test.timers.pass(510);
        assertEquals(test.replies, ImmutableList.of("REFUSED 1000"));
    }

    /** The node is cut off from every other: no holder will be heard, so its callers are told at once to come back. */
    @Test
    public void testSubmit_nodeThatHearsNobodyRefusesAtOnce() {
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
    public void testNotOffered_nextHolder() {
        JobRouterTest test = fresh();
        Holder unreachable = test.holders.add("a", "hobart", 1);
        test.submit(2_000);
        test.holders.holders.remove(unreachable);
        test.holders.add("b", "launceston", 1);
        test.router.notOffered(NodeId.of("a"), JOB);
        assertEquals(test.holders.asked, ImmutableList.of("offer a", "offer b"));
    }

    /** The same job arrives a second time, after its answer: it gets the same answer and is not run again. */
    @Test
    public void testSubmit_againAfterItsAnswer() {
        JobRouterTest test = fresh();
        test.holders.add("a", "hobart", 1);
        test.submit(2_000);
        test.router.settled(NodeId.of("a"), JOB, Verdict.DONE, 0);
        test.submit(2_000);
        assertEquals(test.replies, ImmutableList.of("DONE", "DONE"));
        assertEquals(test.holders.asked, ImmutableList.of("offer a"));
    }

    @Test
    public void testClientLeft_withdraws() {
        JobRouterTest test = fresh();
        test.holders.add("a", "hobart", 1);
        test.submit(2_000).clientLeft();
        assertEquals(test.holders.asked, ImmutableList.of("offer a", "withdraw a"));
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
        test.router.settled(NodeId.of("a"), JOB, Verdict.DONE, 0);
        assertEquals(test.replies, ImmutableList.of());
    }

    @Test
    public void testCancel() {
        JobRouterTest test = fresh();
        test.holders.add("a", "hobart", 1);
        test.submit(2_000);
        assertTrue(test.router.cancel(JOB));
        assertFalse(test.router.cancel(new JobId("00000000000000bb")));
        assertEquals(test.replies, ImmutableList.of("CANCELLED"));
        assertEquals(test.holders.asked, ImmutableList.of("offer a", "withdraw a"));
    }

    /**
     * Operators stop a node while clients keep using their open connections to it. A job that came late was cut off
     * without an answer when the process ended; now it is refused, and what is still open is told that it is given up.
     */
    @Test
    public void testGiveUpAll_leavingNode() {
        JobRouterTest test = fresh();
        test.holders.add("a", "hobart", 1);
        test.submit(4_000);
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
