package org.tarragonarch.core.cluster;

import static org.tarragonarch.core.cluster.FakeCluster.HOBART;
import static org.tarragonarch.core.cluster.FakeCluster.LAUNCESTON;
import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.tarragonarch.core.placing.FakeEndpoint;
import org.tarragonarch.model.task.Delivery;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobService;
import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.OrderResult;
import org.tarragonarch.model.task.PollAnswer;
import org.tarragonarch.model.task.PollOrder;
import org.tarragonarch.model.task.StartOrder;
import org.tarragonarch.model.task.TaskRun;
import org.testng.annotations.Test;

/**
 * Runs that a lost holder left on an endpoint, and of which the next holder adopts only some: with the leases of these
 * it would extend those of all others there.
 */
public final class RecoveredRunLeaseTest {
    private static final int FILLER = 1;
    private static final int JOB = 2;
    private static final int ADOPTED_JOB = 3;
    private static final long LONG_MILLIS = 60_000;
    private static final int ALL_STOPS = Integer.MAX_VALUE;

    private final FakeCluster cluster = new FakeCluster();
    private FakeEndpoint hobartEndpoint;
    private FakeEndpoint launcestonEndpoint;
    private SuspendableNode machine;
    private FakeNode successor;
    private FakeNode holder;
    private FakeNode origin;

    /**
     * Guards against two runs of a job whose origin has lost contact with its holder and with the next one: the run
     * that the lost holder left goes on beyond its lease, because the next holder adopts another run on the endpoint
     * and its first order to stop this one is lost.
     */
    @Test
    public void testHolderLost_nextHolderRenewsLeaseOfRunOfUnreachableOrigin() {
        List<String> broken = new ArrayList<>();
        for (int shift = 20; shift < 200; shift += 40) {
            for (int phase = 0; phase < 200; phase += 20) {
                for (int lostAfter = 700; lostAfter < 900; lostAfter += 25) {
                    RecoveredRunLeaseTest test = new RecoveredRunLeaseTest();
                    test.loseHolderAfter(shift, phase, lostAfter);
                    test.addViolations(shift + "/" + phase + "/" + lostAfter + " ms", broken);
                }
            }
        }
        assertEquals(broken.toString(), "[]");
    }

    /** The same, where the holder is killed and its orders to stop runs and those of the next one are all lost. */
    @Test
    public void testHolderKilled_nobodyCanStopRunOfUnreachableOrigin() {
        List<String> broken = new ArrayList<>();
        for (int shift = 20; shift < 200; shift += 40) {
            for (int killedAfter = 700; killedAfter < 1_200; killedAfter += 25) {
                RecoveredRunLeaseTest test = new RecoveredRunLeaseTest();
                test.killHolderAfter(shift, killedAfter);
                test.addViolations(shift + "/" + killedAfter + " ms", broken);
            }
        }
        assertEquals(broken.toString(), "[]");
    }

    private void addViolations(String when, List<String> broken) {
        if (!cluster.ledger.violations().isEmpty()) {
            broken.add(when + ": " + cluster.ledger.violations());
        }
    }

    private void loseHolderAfter(int shift, int phase, int millis) {
        start(0, 1);
        cutOffOrigin(shift, phase);
        cluster.timers.advance(millis);
        separate(successor, holder);
        machine.suspend(LONG_MILLIS);
        cluster.timers.advance(4_000);
        assertEquals(successor.coordinator().heldShardCount(), 1);
    }

    private void killHolderAfter(int shift, int millis) {
        start(ALL_STOPS, ALL_STOPS);
        cutOffOrigin(shift, 0);
        cluster.timers.advance(millis);
        machine.kill();
        cluster.connections.stop(holder.id());
        cluster.timers.advance(4_000);
        assertEquals(successor.coordinator().heldShardCount(), 1);
    }

    /**
     * Starts the nodes.
     *
     * @param stopsLostOfHolder how many of the holder's first orders to stop a run are lost
     * @param stopsLostOfSuccessor how many of the successor's first orders to stop a run are lost
     */
    private void start(int stopsLostOfHolder, int stopsLostOfSuccessor) {
        hobartEndpoint = cluster.addEndpoint("w-1", HOBART);
        hobartEndpoint.setRunMillis(LONG_MILLIS);
        launcestonEndpoint = cluster.addEndpoint("w-2", LAUNCESTON);
        launcestonEndpoint.setRunMillis(LONG_MILLIS);
        machine = new SuspendableNode(cluster.timers, new FirstStopsLost(stopsLostOfHolder));
        EndpointOrders successorOrders = new FirstStopsLost(stopsLostOfSuccessor);
        successor = cluster.addNode("a", 1, HOBART, 900, successorOrders, cluster.timers);
        holder = cluster.addNode("b", 2, HOBART, 750, machine, machine);
        origin = cluster.addNode("c", 3, LAUNCESTON, 900, cluster.orders, cluster.timers);
        holder.start(FakeCluster.catalog(1));
        cluster.timers.advance(5);
        origin.start(FakeCluster.catalog(1));
        cluster.timers.advance(1_190);
        successor.start(FakeCluster.catalog(1));
        cluster.timers.advance(2_000);
        assertEquals(holder.coordinator().heldShardCount(), 1);
        assertEquals(origin.coordinator().heldShardCount(), 1);
    }

    /** Starts a job of the origin and one of the successor at the holder, and cuts the origin off from both nodes. */
    private void cutOffOrigin(int shift, int phase) {
        JobService.Submission filler = cluster.submit(origin, FILLER, 2);
        cluster.timers.advance(300);
        cluster.submit(origin, JOB, 1);
        cluster.timers.advance(100);
        cluster.submit(successor, ADOPTED_JOB, 1);
        cluster.timers.advance(100);
        assertEquals(hobartEndpoint.running(), 2);
        filler.clientLeft();
        cluster.timers.advance(100);
        assertEquals(launcestonEndpoint.running(), 0);
        // A new configuration version makes the origin send its status between two statuses of the holder.
        cluster.timers.advance(shift);
        origin.coordinator().applyConfiguration(FakeCluster.catalog(2));
        cluster.timers.advance(400 + phase);
        separate(origin, holder);
        separate(origin, successor);
    }

    /** Makes the connections between two nodes silent, those that they open later too. */
    private void separate(FakeNode one, FakeNode other) {
        cluster.connections.stallAll(one.id(), other.id(), LONG_MILLIS);
        cluster.connections.stallAll(other.id(), one.id(), LONG_MILLIS);
    }

    /** Endpoint calls of which the first orders to stop a run are lost. */
    private final class FirstStopsLost implements EndpointOrders {
        private int left;

        FirstStopsLost(int lostStops) {
            left = lostStops;
        }

        @Override
        public void poll(EndpointEntry entry, PollOrder order, Delivery delivery, Consumer<PollAnswer> reply) {
            cluster.orders.poll(entry, order, delivery, reply);
        }

        @Override
        public void start(EndpointEntry entry, StartOrder order, Delivery delivery, Consumer<OrderAnswer> reply) {
            cluster.orders.start(entry, order, delivery, reply);
        }

        @Override
        public void stop(
                EndpointEntry entry, FencingToken token, TaskRun run, Delivery delivery, Consumer<OrderAnswer> reply) {
            if (left == 0) {
                cluster.orders.stop(entry, token, run, delivery, reply);
            } else {
                left--;
                cluster.timers.schedule(
                        delivery.answerWithinMillis(), () -> reply.accept(OrderAnswer.of(OrderResult.UNKNOWN)));
            }
        }
    }
}
