package org.tarragonarch.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskStep;
import org.tarragonarch.model.task.Verdict;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Submissions that arrive once more, after their jobs were cancelled. */
public final class CancelledSubmissionTest {
    private static final JobId JOB = new JobId("00000000000000aa");
    private static final QueueDefinition QUEUE = new QueueDefinition("q", "h", "/p/", "s", 0, 3, 1.6, 60);
    private static final long DEADLINE_MILLIS = 2_000;

    private VirtualTimers timers;
    private FakeHolders holders;
    private JobRouter router;
    private List<String> replies;

    /** Creates a node with one holder. */
    @BeforeMethod
    public void createRouter() {
        timers = new VirtualTimers();
        holders = new FakeHolders(timers);
        holders.add("a", "hobart", 1);
        router = new JobRouter(holders, timers, 1_050, 0, new CancelledJobs(timers, 120_000), new RoutingObserver() {});
        replies = new ArrayList<>();
    }

    private void submit() {
        TaskStep step = new TaskStep(2, new Resources(7_000, 64, 0), 60);
        router.submit(
                QUEUE,
                new JobRequest(JOB, "x", step),
                DEADLINE_MILLIS,
                reply -> replies.add(reply.outcome().name()));
    }

    /** Guards against a cancelled job that runs because its submission arrives once more, at another node. */
    @Test
    public void testSubmit_cancelledThroughAnotherNode() {
        assertFalse(router.cancel(JOB, CancelSource.CLIENT));
        timers.advance(3_500);
        submit();
        assertEquals(replies, ImmutableList.of("CANCELLED"));
        assertEquals(holders.calls, ImmutableList.of());
        assertEquals(router.openJobs(), 0);
    }

    /** Guards against an answer that changes because the client cancels the job after it was done. */
    @Test
    public void testSubmit_cancelledAfterAnswer() {
        submit();
        router.settled(NodeId.of("a"), holders.verdictOn(JOB, Verdict.DONE, 0));
        assertFalse(router.cancel(JOB, CancelSource.CLIENT));
        submit();
        assertEquals(replies, ImmutableList.of("DONE", "DONE"));
    }
}
