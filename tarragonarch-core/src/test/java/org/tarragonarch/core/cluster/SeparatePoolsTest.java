package org.tarragonarch.core.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.task.JobService;
import org.testng.annotations.Test;

/** A job held in another failure domain, where each domain is a separate pool, while connections fail. */
public final class SeparatePoolsTest {
    private static final int FILLER = 1;
    private static final int JOB = 2;

    /** The time after which a client submits an unanswered job again, in milliseconds. */
    private static final long CLIENT_PAUSE_MILLIS = 1_300;

    /** Longer than the silence after which a holder counts as lost, in milliseconds. */
    private static final long SILENT_MILLIS = 900;

    /** Longer than it takes a node to detect a holder's silence and to reconnect, in milliseconds. */
    private static final long STALL_MILLIS = 1_300;

    /** Longer than the rest of a test, in milliseconds. */
    private static final long PERMANENT_STALL_MILLIS = 60_000;

    /** Longer than runs of a lost holder can continue, in milliseconds. */
    private static final long OFFERED_AGAIN_MILLIS = 1_300;

    /** Longer than it takes until the job of a silent holder is offered elsewhere, in milliseconds. */
    private static final long SUSPENDED_MILLIS = 2_300;

    /** The time in which a resumed holder sends a status and sees that its connections are closed, in milliseconds. */
    private static final long NEXT_STATUS_MILLIS = 100;

    private final SeparatePoolsFixture cluster = new SeparatePoolsFixture();
    private JobService.Submission job;

    /** Returns a cluster in which a job submitted through a node of the first domain runs in the second. */
    private static SeparatePoolsTest placedInOtherDomain(boolean throughHolder) {
        SeparatePoolsTest test = new SeparatePoolsTest();
        SeparatePoolsFixture cluster = test.cluster;
        assertEquals(cluster.hobartHolder.coordinator().heldShardCount(), 1);
        assertEquals(cluster.launcestonHolder.coordinator().heldShardCount(), 1);
        JobService.Submission filler =
                cluster.submit(cluster.hobartHolder, FILLER, SeparatePoolsFixture.TASKS_PER_ENDPOINT);
        cluster.timers.advance(300);
        assertEquals(cluster.hobartEndpoint.running(), SeparatePoolsFixture.TASKS_PER_ENDPOINT);
        test.job = cluster.submit(throughHolder ? cluster.hobartHolder : cluster.hobartNode, JOB, 1);
        cluster.timers.advance(100);
        assertEquals(cluster.launcestonEndpoint.running(), 1);
        filler.clientLeft();
        cluster.timers.advance(100);
        assertEquals(cluster.hobartEndpoint.running(), 0);
        return test;
    }

    /** Submits the job again after the client's pause, through the holder of its own domain. */
    private void resubmit() {
        resubmit(cluster.hobartHolder);
    }

    private void resubmit(FakeNode node) {
        cluster.timers.advance(CLIENT_PAUSE_MILLIS);
        cluster.submit(node, JOB, 1);
        cluster.timers.advance(500);
    }

    private void assertNeverTwoRuns() {
        assertEquals(cluster.ledger.violations().toString(), "[]");
    }

    /** Guards against a job that continues to run after its withdrawal has arrived. */
    @Test
    public void testClientLeft_withdrawalArrives() {
        SeparatePoolsTest test = placedInOtherDomain(false);
        test.job.clientLeft();
        test.resubmit();
        assertEquals(test.cluster.hobartEndpoint.running(), 1);
        test.assertNeverTwoRuns();
    }

    /** Guards against two runs of a job whose withdrawal was written to a connection that broke. */
    @Test
    public void testClientLeft_connectionBreaksUnderTheWithdrawal() {
        SeparatePoolsTest test = placedInOtherDomain(false);
        test.job.clientLeft();
        test.cluster.connections.breakConnection(test.cluster.hobartNode.id(), test.cluster.launcestonHolder.id());
        test.resubmit();
        assertTrue(test.cluster.launcestonHolder.reaches(test.cluster.hobartNode));
        test.assertNeverTwoRuns();
    }

    /** Guards against two runs after a lost withdrawal when the node has forgotten the former holder of the job. */
    @Test
    public void testClientLeft_withdrawalIsLostAndJobIsResubmittedToSameNode() {
        SeparatePoolsTest test = placedInOtherDomain(false);
        test.job.clientLeft();
        test.cluster.connections.breakConnection(test.cluster.hobartNode.id(), test.cluster.launcestonHolder.id());
        test.resubmit(test.cluster.hobartNode);
        test.assertNeverTwoRuns();
    }

    /** Guards against two runs of a job whose withdrawal waited for a connection that could not be opened. */
    @Test
    public void testClientLeft_withdrawalIsUndelivered() {
        SeparatePoolsTest test = placedInOtherDomain(false);
        test.cluster.connections.breakConnection(test.cluster.hobartNode.id(), test.cluster.launcestonHolder.id());
        test.cluster.connections.refuseConnections(
                test.cluster.hobartNode.id(), test.cluster.launcestonHolder.id(), 100);
        test.job.clientLeft();
        test.resubmit();
        assertTrue(test.cluster.launcestonHolder.reaches(test.cluster.hobartNode));
        test.assertNeverTwoRuns();
    }

    /** Guards against a job that continues to run at a holder that a node without shards considers silent. */
    @Test
    public void testHolderSilent_nodeSendsNothingElse() {
        SeparatePoolsTest test = placedInOtherDomain(false);
        FakeNode holder = test.cluster.launcestonHolder;
        test.cluster.connections.stallAll(holder.id(), test.cluster.hobartNode.id(), PERMANENT_STALL_MILLIS);
        test.cluster.timers.advance(SILENT_MILLIS);
        assertFalse(test.cluster.hobartNode.reaches(holder));
        test.cluster.timers.advance(OFFERED_AGAIN_MILLIS);
        assertEquals(test.cluster.hobartEndpoint.running(), 1);
        test.assertNeverTwoRuns();
    }

    /** Guards against two runs of a job whose holder is late to detect the loss of a node that sends nothing else. */
    @Test
    public void testHolderSilent_holderIsNotifiedAtOnce() {
        SeparatePoolsTest test = placedInOtherDomain(false);
        FakeNode holder = test.cluster.launcestonHolder;
        test.cluster.connections.stallAll(holder.id(), test.cluster.hobartNode.id(), PERMANENT_STALL_MILLIS);
        test.cluster.timers.advance(SILENT_MILLIS);
        assertFalse(test.cluster.hobartNode.reaches(holder));
        test.cluster.timers.advance(100);
        assertEquals(test.cluster.launcestonEndpoint.running(), 0);
    }

    /**
     * Guards against two runs of a job whose origin considers the holder silent, closes its connections and opens a new
     * one, before the holder has seen the close of the stalled old connection.
     */
    @Test
    public void testHolderSilent_nodeReconnectsBeforeHolderSeesLastClose() {
        SeparatePoolsTest test = placedInOtherDomain(true);
        FakeNode holder = test.cluster.launcestonHolder;
        test.cluster.connections.stallAll(holder.id(), test.cluster.hobartHolder.id(), STALL_MILLIS);
        test.cluster.timers.advance(SILENT_MILLIS);
        assertFalse(test.cluster.hobartHolder.reaches(holder));
        test.cluster.timers.advance(OFFERED_AGAIN_MILLIS);
        test.assertNeverTwoRuns();
    }

    /**
     * Guards against two runs of a job whose origin gets no message from the holder of its own domain, because one
     * connection has stalled permanently, while the holder receives frames of the origin on a new connection.
     */
    @Test
    public void testHolderSilent_holderOfOwnDomainStillHearsNode() {
        SeparatePoolsTest test = new SeparatePoolsTest();
        SeparatePoolsFixture cluster = test.cluster;
        test.job = cluster.submit(cluster.hobartNode, JOB, 1);
        cluster.timers.advance(100);
        assertEquals(cluster.hobartEndpoint.running(), 1);
        cluster.connections.stallAll(cluster.hobartHolder.id(), cluster.hobartNode.id(), PERMANENT_STALL_MILLIS);
        cluster.timers.advance(SILENT_MILLIS);
        assertFalse(cluster.hobartNode.reaches(cluster.hobartHolder));
        cluster.timers.advance(OFFERED_AGAIN_MILLIS);
        test.assertNeverTwoRuns();
        assertEquals(cluster.hobartEndpoint.running() + cluster.launcestonEndpoint.running(), 1);
    }

    /**
     * Guards against a task whose lease expired while its holder was suspended, and which the holder starts again when
     * it resumes, before it has seen that the job's origin has closed their connections.
     */
    @Test
    public void testHolderSuspended_resumesAfterJobIsOfferedElsewhere() {
        SeparatePoolsTest test = placedInOtherDomain(false);
        FakeNode holder = test.cluster.launcestonHolder;
        for (FakeNode other : ImmutableList.of(test.cluster.hobartNode, test.cluster.hobartHolder)) {
            test.cluster.connections.stall(holder.id(), other.id(), SUSPENDED_MILLIS + NEXT_STATUS_MILLIS);
            test.cluster.connections.stall(other.id(), holder.id(), SUSPENDED_MILLIS + NEXT_STATUS_MILLIS);
            test.cluster.connections.refuseConnections(other.id(), holder.id(), SUSPENDED_MILLIS);
        }
        test.cluster.launcestonMachine.suspend(SUSPENDED_MILLIS);
        test.cluster.timers.advance(SUSPENDED_MILLIS - 10);
        assertFalse(test.cluster.hobartNode.reaches(holder));
        test.assertNeverTwoRuns();
        assertEquals(test.cluster.hobartEndpoint.running(), 1);
        test.cluster.timers.advance(1_000);
        test.assertNeverTwoRuns();
    }

    /**
     * Guards against a task that waits for capacity at a suspended holder, and that the holder starts when it resumes,
     * although the job's origin has lost it and has offered the job elsewhere.
     */
    @Test
    public void testHolderSuspended_capacityIsReleasedMeanwhile() {
        SeparatePoolsTest test = new SeparatePoolsTest();
        SeparatePoolsFixture cluster = test.cluster;
        FakeNode holder = cluster.launcestonHolder;
        test.separate(cluster.hobartNode, cluster.hobartHolder, SILENT_MILLIS);
        test.breakBoth(cluster.hobartNode, cluster.hobartHolder);
        cluster.timers.advance(200);
        cluster.launcestonEndpoint.setRunMillis(SILENT_MILLIS);
        cluster.submit(holder, FILLER, SeparatePoolsFixture.TASKS_PER_ENDPOINT);
        cluster.timers.advance(100);
        cluster.launcestonEndpoint.setRunMillis(SUSPENDED_MILLIS);
        cluster.submit(cluster.hobartNode, JOB, 1);
        cluster.timers.advance(100);
        test.separate(cluster.hobartNode, holder, PERMANENT_STALL_MILLIS);
        cluster.launcestonMachine.suspend(SUSPENDED_MILLIS);
        cluster.timers.advance(SUSPENDED_MILLIS - 10);
        assertEquals(cluster.hobartEndpoint.running(), 1);
        assertEquals(cluster.launcestonEndpoint.running(), 0);
        cluster.timers.advance(1_000);
        test.assertNeverTwoRuns();
    }

    /** Makes the connections between two nodes silent, and refuses new ones for the given time. */
    private void separate(FakeNode one, FakeNode other, long millis) {
        cluster.connections.stall(one.id(), other.id(), PERMANENT_STALL_MILLIS);
        cluster.connections.stall(other.id(), one.id(), PERMANENT_STALL_MILLIS);
        cluster.connections.refuseConnections(one.id(), other.id(), millis);
        cluster.connections.refuseConnections(other.id(), one.id(), millis);
    }

    private void breakBoth(FakeNode one, FakeNode other) {
        cluster.connections.breakConnection(one.id(), other.id());
        cluster.connections.breakConnection(other.id(), one.id());
    }

    /**
     * Guards against two runs of a job whose origin was suspended, and offers it again when it resumes, although its
     * client has left and has submitted it through another node.
     */
    @Test
    public void testOriginSuspended_clientHasSubmittedJobElsewhere() {
        SeparatePoolsTest test = new SeparatePoolsTest();
        SeparatePoolsFixture cluster = test.cluster;
        test.job = cluster.submit(cluster.hobartNode, JOB, 1);
        cluster.timers.advance(100);
        for (FakeNode other : ImmutableList.of(cluster.hobartHolder, cluster.launcestonHolder)) {
            cluster.connections.stall(cluster.hobartNode.id(), other.id(), SUSPENDED_MILLIS);
            cluster.connections.stall(other.id(), cluster.hobartNode.id(), SUSPENDED_MILLIS);
            cluster.connections.refuseConnections(other.id(), cluster.hobartNode.id(), SUSPENDED_MILLIS);
        }
        cluster.hobartMachine.suspend(SUSPENDED_MILLIS);
        cluster.timers.advance(CLIENT_PAUSE_MILLIS);
        assertEquals(cluster.hobartEndpoint.running(), 0);
        cluster.submit(cluster.hobartHolder, FILLER, SeparatePoolsFixture.TASKS_PER_ENDPOINT);
        cluster.timers.advance(50);
        cluster.submit(cluster.hobartHolder, JOB, 1);
        cluster.timers.advance(100);
        assertEquals(cluster.launcestonEndpoint.running(), 1);
        cluster.timers.advance(SUSPENDED_MILLIS - CLIENT_PAUSE_MILLIS - 150);
        // A resumed node reads what has arrived, the close of its client's connection included, before it connects.
        test.job.clientLeft();
        cluster.timers.advance(1_000);
        test.assertNeverTwoRuns();
        assertEquals(cluster.launcestonEndpoint.running(), 1);
    }

    /** Guards against a job that waits until its deadline because its offer was lost with the connection. */
    @Test
    public void testOffer_connectionBreaksUnderTheOffer() {
        cluster.submit(cluster.hobartHolder, FILLER, SeparatePoolsFixture.TASKS_PER_ENDPOINT);
        cluster.timers.advance(300);
        cluster.submit(cluster.hobartNode, JOB, 1);
        // The holder of the own domain has returned the job, and the offer to the other holder is in transit.
        cluster.timers.advance(2);
        cluster.connections.breakConnection(cluster.hobartNode.id(), cluster.launcestonHolder.id());
        cluster.timers.advance(2_000);
        assertTrue(cluster.launcestonHolder.reaches(cluster.hobartNode));
        assertEquals(cluster.launcestonEndpoint.running(), 1);
    }
}
