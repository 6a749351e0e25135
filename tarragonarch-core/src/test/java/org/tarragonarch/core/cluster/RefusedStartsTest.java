package org.tarragonarch.core.cluster;

import static org.tarragonarch.core.cluster.FakeCluster.HOBART;
import static org.tarragonarch.core.cluster.FakeCluster.LAUNCESTON;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.function.Consumer;
import org.tarragonarch.core.placing.FakeEndpoint;
import org.tarragonarch.model.task.Delivery;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.OrderResult;
import org.tarragonarch.model.task.PollAnswer;
import org.tarragonarch.model.task.PollOrder;
import org.tarragonarch.model.task.StartOrder;
import org.tarragonarch.model.task.TaskRun;
import org.testng.annotations.Test;

/** Starts of tasks beside runs over which their holder has no authority. */
public final class RefusedStartsTest {
    private static final int FILLER = 1;
    private static final int JOB = 2;
    private static final int OWN_JOB = 3;
    private static final int MOST_REFUSED = 2;

    private final FakeCluster cluster = new FakeCluster();
    private int refused;

    /**
     * Guards against start orders that are repeated without a pause: the lease of a run over which there is no
     * authority is not extended, so that each start beside it is too late.
     */
    @Test
    public void testStart_besideRunWithoutAuthority() {
        int mostRefused = 0;
        for (int submittedAfter = 160; submittedAfter < 400; submittedAfter += 5) {
            RefusedStartsTest test = new RefusedStartsTest();
            test.startAfterStop(submittedAfter);
            mostRefused = Math.max(mostRefused, test.refused);
        }
        assertTrue(mostRefused <= MOST_REFUSED, mostRefused + " starts of one task were too late");
    }

    private void startAfterStop(int submittedAfter) {
        cluster.addEndpoint("w-1", HOBART);
        FakeEndpoint launcestonEndpoint = cluster.addEndpoint("w-2", LAUNCESTON);
        SuspendableNode machine = new SuspendableNode(cluster.timers, cluster.orders);
        FakeNode origin = cluster.addNode("a", 1, HOBART, 900, cluster.orders, cluster.timers);
        FakeNode holder = cluster.addNode("b", 2, LAUNCESTON, 900, new CountedOrders(machine), machine);
        cluster.connections.nodes().forEach(node -> node.start(FakeCluster.catalog(1)));
        cluster.timers.advance(1_000);
        cluster.submit(origin, FILLER, 2);
        cluster.timers.advance(300);
        cluster.submit(origin, JOB, 1);
        cluster.timers.advance(100);
        assertEquals(launcestonEndpoint.running(), 1);
        machine.suspend(150);
        cluster.timers.advance(submittedAfter);
        cluster.submit(holder, OWN_JOB, 1);
        cluster.timers.advance(1_000);
    }

    /** Endpoint calls that count the starts that are refused as too late. */
    private final class CountedOrders implements EndpointOrders {
        private final EndpointOrders orders;

        CountedOrders(EndpointOrders orders) {
            this.orders = orders;
        }

        @Override
        public void poll(EndpointEntry entry, PollOrder order, Delivery delivery, Consumer<PollAnswer> reply) {
            orders.poll(entry, order, delivery, reply);
        }

        @Override
        public void start(EndpointEntry entry, StartOrder order, Delivery delivery, Consumer<OrderAnswer> reply) {
            orders.start(entry, order, delivery, answer -> {
                refused += answer.result() == OrderResult.TOO_LATE ? 1 : 0;
                reply.accept(answer);
            });
        }

        @Override
        public void stop(
                EndpointEntry entry, FencingToken token, TaskRun run, Delivery delivery, Consumer<OrderAnswer> reply) {
            orders.stop(entry, token, run, delivery, reply);
        }
    }
}
