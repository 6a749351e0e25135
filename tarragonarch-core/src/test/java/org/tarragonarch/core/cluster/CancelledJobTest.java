package org.tarragonarch.core.cluster;

import static org.tarragonarch.core.cluster.FakeCluster.HOBART;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.tarragonarch.core.placing.FakeEndpoint;
import org.tarragonarch.core.routing.CancelSource;
import org.tarragonarch.model.task.JobId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A cancelled job whose submission arrives once more, at nodes that have missed the cancellation in different ways. */
public final class CancelledJobTest {
    private static final JobId JOB = new JobId(String.format("%016x", 1));
    private static final int TASKS = 2;

    /** Longer than it takes nodes to detect the loss of a holder, and to claim its shard, in milliseconds. */
    private static final long TAKEOVER_MILLIS = 2_500;

    private FakeCluster cluster;
    private FakeEndpoint endpoint;
    private FakeNode holder;
    private SuspendableNode holderMachine;
    private SuspendableNode originMachine;
    private SuspendableNode otherMachine;
    private FakeNode origin;
    private FakeNode other;
    private List<String> replies;

    /** Starts a holder and two nodes without shards. */
    @BeforeMethod
    public void startNodes() {
        cluster = new FakeCluster();
        endpoint = cluster.addEndpoint("w-1", HOBART);
        replies = new ArrayList<>();
        holderMachine = machine();
        holder = cluster.addNode("a", 1, HOBART, 900, holderMachine);
        originMachine = machine();
        origin = cluster.addNode("b", 2, HOBART, 800, originMachine);
        otherMachine = machine();
        other = cluster.addNode("c", 3, HOBART, 750, otherMachine);
        cluster.connections.nodes().forEach(node -> node.start(FakeCluster.catalog(1)));
        cluster.timers.advance(1_000);
        assertEquals(holder.coordinator().heldShardCount(), 1);
    }

    private SuspendableNode machine() {
        return new SuspendableNode(cluster.timers, cluster.orders);
    }

    private void submit(FakeNode through) {
        cluster.submit(through, 1, TASKS, reply -> replies.add(reply.outcome().name()));
        cluster.timers.advance(300);
    }

    private void assertCancelledWithoutRun(FakeNode through) {
        int starts = cluster.ledger.starts();
        replies.clear();
        submit(through);
        assertEquals(replies, ImmutableList.of("CANCELLED"));
        assertEquals(cluster.ledger.starts(), starts);
    }

    /** Guards against a cancelled job that a holder starts for an origin that has missed the cancellation. */
    @Test
    public void testOffer_originMissedCancellation() {
        holder.cancel(JOB, CancelSource.PEER);
        assertCancelledWithoutRun(other);
    }

    /** Guards against a job that runs on because its origin has missed the cancellation that its holder received. */
    @Test
    public void testCancel_originMissedCancellation() {
        submit(origin);
        assertEquals(endpoint.running(), TASKS);
        holder.cancel(JOB, CancelSource.PEER);
        cluster.timers.advance(300);
        assertEquals(endpoint.running(), 0);
        assertEquals(replies, ImmutableList.of("CANCELLED"));
    }

    /** Guards against a job that runs on because its holder's news of the cancellation was lost with a connection. */
    @Test
    public void testCancel_newsOfHolderLost() {
        submit(origin);
        holder.cancel(JOB, CancelSource.PEER);
        cluster.connections.breakConnection(holder.id(), origin.id());
        cluster.connections.breakConnection(origin.id(), holder.id());
        cluster.timers.advance(1_000);
        assertEquals(endpoint.running(), 0);
        assertEquals(replies, ImmutableList.of("CANCELLED"));
    }

    /** Guards against a cancelled job that is open at two nodes and is cancelled at one of them only. */
    @Test
    public void testCancel_openAtTwoNodes() {
        submit(origin);
        submit(other);
        other.cancelEverywhere(JOB, () -> {});
        cluster.timers.advance(300);
        assertEquals(endpoint.running(), 0);
        assertEquals(replies, ImmutableList.of("CANCELLED", "CANCELLED"));
        assertEquals(origin.coordinator().router().openJobs(), 0);
    }

    /** Guards against a cancelled job that runs at the next holder. */
    @Test
    public void testOffer_afterTakeover() {
        submit(origin);
        other.cancelEverywhere(JOB, () -> {});
        cluster.timers.advance(100);
        killHolder();
        cluster.timers.advance(TAKEOVER_MILLIS);
        assertEquals(origin.coordinator().heldShardCount(), 1);
        assertCancelledWithoutRun(other);
    }

    /** Guards against a cancelled job that runs at a holder which was cut off from the node that cancelled the job. */
    @Test
    public void testOffer_holderWasCutOff() {
        cluster.connections.breakConnection(other.id(), holder.id());
        cluster.connections.refuseConnections(other.id(), holder.id(), 500);
        other.cancelEverywhere(JOB, () -> {});
        cluster.timers.advance(2_000);
        assertTrue(holder.coordinator().router().isCancelled(JOB));
        assertCancelledWithoutRun(holder);
    }

    /** Guards against a cancelled job that runs at a holder which has started after the cancellation. */
    @Test
    public void testOffer_holderHasRestarted() {
        submit(origin);
        other.cancelEverywhere(JOB, () -> {});
        cluster.timers.advance(100);
        killHolder();
        cluster.timers.advance(TAKEOVER_MILLIS);
        FakeNode restarted = cluster.addNode("a", 1, HOBART, 900, machine());
        restarted.start(FakeCluster.catalog(1));
        cluster.timers.advance(1_000);
        assertCancelledWithoutRun(restarted);
        origin.coordinator().leave();
        cluster.timers.advance(TAKEOVER_MILLIS);
        assertEquals(restarted.coordinator().heldShardCount(), 1);
        assertCancelledWithoutRun(restarted);
    }

    /** Guards against a cancelled job that runs after all nodes were lost at once. */
    @Test
    public void testOffer_allNodesHaveRestarted() {
        other.cancelEverywhere(JOB, () -> {});
        cluster.timers.advance(100);
        killHolder();
        originMachine.kill();
        cluster.connections.stop(origin.id());
        otherMachine.kill();
        cluster.connections.stop(other.id());
        cluster.timers.advance(1_500);
        FakeNode restarted = cluster.addNode("a", 1, HOBART, 900, machine());
        restarted.start(FakeCluster.catalog(1));
        cluster.timers.advance(1_000);
        assertEquals(restarted.coordinator().heldShardCount(), 1);
        assertCancelledWithoutRun(restarted);
    }

    private void killHolder() {
        holderMachine.kill();
        cluster.connections.stop(holder.id());
    }
}
