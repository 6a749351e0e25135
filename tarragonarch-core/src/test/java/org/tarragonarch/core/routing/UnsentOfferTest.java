package org.tarragonarch.core.routing;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskStep;
import org.testng.annotations.Test;

/** A job that is offered again to a lost holder that has returned. */
public final class UnsentOfferTest {
    private static final QueueDefinition QUEUE = new QueueDefinition("q", "h", "/p/", "s", 0, 3, 1.6, 60);
    private static final JobId JOB = new JobId("00000000000000aa");
    private static final NodeId RETURNED = NodeId.of("a");
    private static final long MAX_RUN_MILLIS = 1_050;

    /**
     * Guards against a job that is offered elsewhere at once because the offer to its returned holder was not sent,
     * although that holder still runs it.
     */
    @Test
    public void testOfferNotSent_holderRunsTheEarlierOffer() {
        VirtualTimers timers = new VirtualTimers();
        FakeHolders holders = new FakeHolders(timers);
        holders.add("a", "hobart", 1);
        holders.add("b", "launceston", 1);
        JobRouter router = new JobRouter(
                holders, timers, MAX_RUN_MILLIS, 0, new CancelledJobs(timers, 120_000), new RoutingObserver() {});
        JobRequest request = new JobRequest(JOB, "x", new TaskStep(2, new Resources(7_000, 64, 0), 60));
        router.submit(QUEUE, request, 5_000, reply -> {});
        router.nodeLost(RETURNED);
        router.holdersChanged();
        assertEquals(holders.calls, ImmutableList.of("offer a", "offer a"));
        router.offerNotSent(RETURNED, JOB);
        timers.advance(MAX_RUN_MILLIS - 1);
        assertEquals(holders.calls, ImmutableList.of("offer a", "offer a"));
        timers.advance(1);
        assertEquals(holders.calls, ImmutableList.of("offer a", "offer a", "offer b"));
    }
}
