package org.tarragonarch.entry.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.core.routing.CancelledJobs;
import org.tarragonarch.core.routing.JobRouter;
import org.tarragonarch.core.routing.RoutingObserver;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskStep;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The end of a stopping node, and what its clients are told before it. */
public final class NodeShutdownTest {
    private static final QueueDefinition QUEUE = new QueueDefinition("q", "h", "/p/", "s", 0, 3, 1.6, 60);
    private static final long SHUTDOWN_MILLIS = 6_000;

    /** When a node without open jobs ends, in milliseconds after it was asked to stop. */
    private static final long IDLE_END_MILLIS = 3_000;

    private ManualTimers timers;
    private JobRouter router;
    private PeerCancellations cancellations;
    private List<String> events;

    /** Creates a node with one peer, which never answers. */
    @BeforeMethod
    public void createNode() {
        timers = new ManualTimers();
        router = new JobRouter(
                new NoHolders(), timers, 1_050, 0, new CancelledJobs(timers, 120_000), new RoutingObserver() {});
        cancellations = new PeerCancellations(new SilentPeer(), timers, log());
        events = new ArrayList<>();
    }

    private static DecisionLog log() {
        return new DecisionLog("own", new PrintStream(OutputStream.nullOutputStream()));
    }

    private void stop(long shutdownMillis) {
        new NodeShutdown(router, cancellations, timers, log(), shutdownMillis, () -> events.add("ended")).run();
    }

    private void cancel(int job) {
        JobId id = new JobId(String.format("%016x", job));
        cancellations.ask(id, false, known -> events.add("answered " + job));
    }

    private void submit(int job) {
        JobId id = new JobId(String.format("%016x", job));
        TaskStep step = new TaskStep(1, new Resources(7_000, 64, 0), 60);
        router.submit(
                QUEUE,
                new JobRequest(id, "x", step),
                2_000,
                reply -> events.add("answered " + job + " " + reply.outcome()));
    }

    @Test
    public void testRun_idle() {
        stop(SHUTDOWN_MILLIS);
        timers.advance(IDLE_END_MILLIS);
        assertEquals(events, ImmutableList.of("ended"));
    }

    /** Guards against a process that ends while a client waits for the answer to its cancellation. */
    @Test
    public void testRun_cancellationPending() {
        stop(SHUTDOWN_MILLIS);
        timers.advance(2_750);
        cancel(1);
        timers.advance(IDLE_END_MILLIS - 2_750);
        assertEquals(events, ImmutableList.of());
        timers.advance(400);
        assertEquals(events, ImmutableList.of("answered 1", "ended"));
    }

    /** Guards against clients that cancel without end, and whose last calls get no answer, or that keep the process. */
    @Test
    public void testRun_cancellationsWithoutEnd() {
        long startMillis = timers.nowMillis();
        stop(SHUTDOWN_MILLIS);
        int sent = cancelUntilTheEnd();
        assertEquals(events.size(), sent + 1);
        long tookMillis = timers.nowMillis() - startMillis;
        assertTrue(tookMillis <= IDLE_END_MILLIS + 400, "ended after " + tookMillis);
    }

    /** Guards against calls that get no answer because the process would be killed soon after the first of them. */
    @Test
    public void testRun_cancellationsUntilTheProcessWouldBeKilled() {
        stop(700);
        int sent = cancelUntilTheEnd();
        assertEquals(events.size(), sent + 1);
    }

    private int cancelUntilTheEnd() {
        int sent = 0;
        while (!events.contains("ended")) {
            sent++;
            cancel(sent);
            timers.advance(20);
        }
        return sent;
    }

    /** Guards against a job that is accepted just before the process ends, where little time is given to end. */
    @Test
    public void testRun_jobArrivesBeforeTheEnd() {
        stop(700);
        timers.advance(200);
        assertFalse(events.contains("ended"));
        submit(1);
        assertEquals(events, ImmutableList.of("answered 1 REFUSED"));
    }

    /** A peer that can be asked and does not answer. */
    private static final class SilentPeer implements CancelRequests {
        @Override
        public ImmutableSet<NodeId> askAllToCancel(JobId job) {
            return ImmutableSet.of(NodeId.of("silent"));
        }

        @Override
        public void store(JobId job, Runnable stored) {
            stored.run();
        }

        @Override
        public void askAgainToCancel(NodeId peer, JobId job) {}
    }
}
