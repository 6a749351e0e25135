package org.tarragonarch.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Multiset;
import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.JobService;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskStep;
import org.tarragonarch.model.task.Verdict;
import org.testng.annotations.Test;

/** The order in which a job of 14 cores is offered to the holders of separate failure domains. */
public final class DomainBalanceTest {
    private static final JobId JOB = id(1);
    private static final QueueDefinition QUEUE = new QueueDefinition("q", "h", "/p/", "s", 0, 3, 1.6, 60);
    private static final long AMPLE_MILLI_CORES = 1_000_000;

    private final VirtualTimers timers = new VirtualTimers();
    private final FakeHolders holders = new FakeHolders(timers);
    private final List<String> observed = new ArrayList<>();
    private final List<String> replies = new ArrayList<>();
    private final JobRouter router =
            new JobRouter(holders, timers, 1_050, 0, new CancelledJobs(timers, 120_000), new RoutingObserver() {
                @Override
                public void movedToNeighbour(JobId job, NodeId holder) {
                    observed.add("moved to " + holder);
                }

                @Override
                public void returnedByNeighbour(JobId job, NodeId holder) {
                    observed.add("back from " + holder);
                }
            });

    private static JobId id(long number) {
        return new JobId(String.format("%016x", number));
    }

    private JobService.Submission submit(JobId id) {
        TaskStep step = new TaskStep(2, new Resources(7_000, 64, 0), 60);
        return router.submit(
                QUEUE,
                new JobRequest(id, "x", step),
                2_000,
                reply -> replies.add(reply.outcome() + " " + reply.retryMillis()));
    }

    private void settledNotAtOnce(String... nodes) {
        for (String node : nodes) {
            router.settled(NodeId.of(node), holders.verdictOn(JOB, Verdict.NOT_AT_ONCE, 0));
        }
    }

    /** Guards against a job queued in its own domain while another has free capacity, or lost among several offers. */
    @Test
    public void testSubmit_ownDomainThenTwoNeighboursThenOwnDomainToWait() {
        DomainBalanceTest test = new DomainBalanceTest();
        test.holders.add("a", "hobart", 1);
        test.holders.addNeighbour("b", "launceston", AMPLE_MILLI_CORES);
        test.holders.addNeighbour("c", "devonport", AMPLE_MILLI_CORES);
        test.holders.addNeighbour("d", "burnie", AMPLE_MILLI_CORES);
        test.submit(JOB);
        test.settledNotAtOnce("a", "b", "c", "d");
        assertEquals(test.holders.calls.size(), 4, test.holders.calls.toString());
        assertEquals(test.holders.calls.get(0), "offer a at once");
        assertTrue(test.holders.calls.get(1).endsWith("at once")
                && test.holders.calls.get(2).endsWith("at once"));
        assertEquals(test.holders.calls.get(3), "offer a");
        assertEquals(test.observed.size(), 4, test.observed.toString());
        test.router.settled(NodeId.of("a"), test.holders.verdictOn(JOB, Verdict.DONE, 0));
        assertEquals(test.replies, ImmutableList.of("DONE 0"));
    }

    /** Guards against a needless round trip when no other domain has capacity for the whole job. */
    @Test
    public void testSubmit_noCapacityElsewhere() {
        DomainBalanceTest test = new DomainBalanceTest();
        test.holders.add("a", "hobart", 1);
        test.holders.addNeighbour("b", "launceston", 13_999);
        test.submit(JOB);
        assertEquals(test.holders.calls, ImmutableList.of("offer a"));
    }

    /** Guards against a holder that is skipped for queueing because it could not start the job at once. */
    @Test
    public void testSettled_notAtOnceDoesNotCountAsDeclined() {
        DomainBalanceTest test = new DomainBalanceTest();
        test.holders.add("a", "hobart", 1);
        test.holders.addNeighbour("b", "launceston", AMPLE_MILLI_CORES);
        test.submit(JOB);
        test.settledNotAtOnce("a", "b");
        test.router.settled(NodeId.of("a"), test.holders.verdictOn(JOB, Verdict.DECLINED, 300));
        test.router.settled(NodeId.of("b"), test.holders.verdictOn(JOB, Verdict.DECLINED, 200));
        assertEquals(test.holders.calls, ImmutableList.of("offer a at once", "offer b at once", "offer a", "offer b"));
        assertEquals(test.replies, ImmutableList.of("REFUSED 200"));
        assertEquals(test.observed, ImmutableList.of("moved to b", "back from b"));
        assertEquals(test.holders.notStartedAtOnce, ImmutableList.of("b 14000"));
    }

    /** Guards against a job that waits until its deadline after its last holder returned it and no holder is left. */
    @Test
    public void testSettled_notAtOnceAndNoHolderLeft() {
        DomainBalanceTest test = new DomainBalanceTest();
        Holder own = test.holders.add("a", "hobart", 1);
        test.holders.addNeighbour("b", "launceston", AMPLE_MILLI_CORES);
        test.submit(JOB);
        test.timers.advance(600);
        test.holders.holders.clear();
        test.holders.neighboursWithRoom.clear();
        test.settledNotAtOnce(own.node().value());
        test.timers.advance(500);
        assertEquals(test.replies, ImmutableList.of("REFUSED 1000"));
    }

    /** Guards against a second run of a job whose holder is lost after it may have started the job at once. */
    @Test
    public void testNodeLost_atOnceOfferMayHaveStarted() {
        DomainBalanceTest test = new DomainBalanceTest();
        test.holders.add("a", "hobart", 1);
        Holder lost = test.holders.addNeighbour("b", "launceston", AMPLE_MILLI_CORES);
        test.holders.addNeighbour("c", "devonport", AMPLE_MILLI_CORES);
        test.holders.neighboursWithRoom.remove(1);
        test.submit(JOB);
        test.settledNotAtOnce("a");
        test.holders.holders.remove(lost);
        test.router.nodeLost(NodeId.of("b"));
        test.timers.advance(1_000);
        assertEquals(test.holders.calls, ImmutableList.of("offer a at once", "offer b at once"));
        test.timers.advance(100);
        assertEquals(test.holders.calls, ImmutableList.of("offer a at once", "offer b at once", "offer a"));
    }

    /** Guards against further delay of a job that is already late by offers for an immediate start. */
    @Test
    public void testHoldersChanged_lateJobSkipsImmediateStartOffers() {
        DomainBalanceTest test = new DomainBalanceTest();
        test.submit(JOB);
        test.timers.advance(97);
        test.holders.add("a", "hobart", 1);
        test.holders.addNeighbour("b", "launceston", AMPLE_MILLI_CORES);
        test.router.holdersChanged();
        assertEquals(test.holders.calls, ImmutableList.of("offer a"));
    }

    /** Guards against offers for an immediate start when the preferred holder is not that of the own domain. */
    @Test
    public void testSubmit_ownDomainIsNotFirst() {
        DomainBalanceTest test = new DomainBalanceTest();
        test.holders.addNeighbour("b", "launceston", AMPLE_MILLI_CORES);
        test.holders.add("a", "hobart", 1);
        test.submit(JOB);
        assertEquals(test.holders.calls, ImmutableList.of("offer b"));
    }

    /** Guards against a thundering herd: nodes that see the same statuses must not all choose the same holder. */
    @Test
    public void testSubmit_jobsSpreadOverNeighboursAndPreferMoreCapacity() {
        DomainBalanceTest test = new DomainBalanceTest();
        test.holders.add("a", "hobart", 1);
        test.holders.addNeighbour("b", "launceston", AMPLE_MILLI_CORES);
        test.holders.addNeighbour("c", "devonport", AMPLE_MILLI_CORES);
        test.holders.addNeighbour("d", "burnie", 2 * AMPLE_MILLI_CORES);
        for (int job = 1; job <= 300; job++) {
            test.submit(id(job));
            test.router.settled(NodeId.of("a"), test.holders.verdictOn(id(job), Verdict.NOT_AT_ONCE, 0));
        }
        Multiset<String> offers = HashMultiset.create(test.holders.calls);
        assertEquals(offers.count("offer a at once"), 300);
        assertTrue(offers.count("offer b at once") > 20 && offers.count("offer c at once") > 20, offers.toString());
        assertTrue(offers.count("offer d at once") > 150, offers.toString());
    }

    /**
     * Guards against a task that runs twice when its client disconnects and submits the job again while the neighbour
     * that holds it is still stopping the first runs.
     */
    @Test
    public void testSubmit_resubmittedWhileNeighbourStopsRuns() {
        DomainBalanceTest test = new DomainBalanceTest();
        test.holders.add("a", "hobart", 1);
        test.holders.addNeighbour("b", "launceston", AMPLE_MILLI_CORES);
        JobService.Submission first = test.submit(JOB);
        test.settledNotAtOnce("a");
        first.clientLeft();
        test.holders.calls.clear();
        test.submit(JOB);
        assertEquals(test.holders.calls, ImmutableList.of("offer b"));
        test.router.settled(NodeId.of("b"), test.holders.verdictOn(JOB, Verdict.DECLINED, 200));
        assertEquals(test.holders.calls.size(), 2, test.holders.calls.toString());
        assertTrue(test.holders.calls.get(1).startsWith("offer a"));
    }

    /** Guards against a task that runs twice when its client submits the job again after its deadline has passed. */
    @Test
    public void testSubmit_resubmittedAfterDeadline() {
        DomainBalanceTest test = new DomainBalanceTest();
        test.holders.add("a", "hobart", 1);
        test.holders.addNeighbour("b", "launceston", AMPLE_MILLI_CORES);
        test.submit(JOB);
        test.settledNotAtOnce("a");
        test.timers.advance(2_000);
        test.holders.calls.clear();
        test.submit(JOB);
        assertEquals(test.holders.calls, ImmutableList.of("offer b"));
    }
}
