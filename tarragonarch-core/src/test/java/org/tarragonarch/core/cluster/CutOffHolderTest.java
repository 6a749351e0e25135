package org.tarragonarch.core.cluster;

import static org.tarragonarch.core.cluster.FakeCluster.HOBART;
import static org.tarragonarch.core.cluster.FakeCluster.LAUNCESTON;
import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.tarragonarch.core.placing.FakeEndpoint;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.task.Delivery;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.OrderResult;
import org.tarragonarch.model.task.PollAnswer;
import org.tarragonarch.model.task.PollOrder;
import org.tarragonarch.model.task.QueueCatalog;
import org.tarragonarch.model.task.StartOrder;
import org.tarragonarch.model.task.TaskRun;
import org.testng.annotations.Test;

/**
 * A network partition with a holder and one endpoint of its domain on one side, and all other nodes and endpoints on
 * the other: the holder renews the leases on that endpoint until it detects the loss of the job's origin or is fenced.
 */
public final class CutOffHolderTest {
    private static final long LONG_MILLIS = 60_000;
    private static final int JOB = 1;

    private final FakeCluster cluster = new FakeCluster();
    private final Set<EndpointId> unreachable = new HashSet<>();

    /**
     * Guards against a task that starts a second time because its lease is counted from the moment when the origin
     * detects the loss of the holder, although the holder has renewed the lease after that.
     */
    @Test
    public void testPartition_holderRenewsLeaseAfterItsLossIsDetected() {
        List<String> broken = new ArrayList<>();
        for (int atMillis = 0; atMillis < 200; atMillis += 10) {
            CutOffHolderTest test = new CutOffHolderTest();
            test.partitionAfter(atMillis);
            if (!test.cluster.ledger.violations().isEmpty()) {
                broken.add("cut " + atMillis + " ms later: " + test.cluster.ledger.violations());
            }
        }
        assertEquals(broken.toString(), "[]");
    }

    private void partitionAfter(int millis) {
        List<FakeEndpoint> hobart = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            hobart.add(cluster.addEndpoint("w-" + number, HOBART));
        }
        cluster.addEndpoint("w-4", LAUNCESTON);
        // Nodes review their peers every 0.1 s: the origin 5 ms after the holder, the successor 95 ms after the holder.
        FakeNode successor = addNode("a", 1, HOBART, 900, new PartlyCutOrders());
        FakeNode holder = addNode("b", 2, HOBART, 750, cluster.orders);
        FakeNode origin = addNode("c", 3, LAUNCESTON, 900, new PartlyCutOrders());
        QueueCatalog catalog = FakeCluster.catalog(1);
        holder.start(catalog);
        cluster.timers.advance(5);
        origin.start(catalog);
        cluster.timers.advance(1_190);
        successor.start(catalog);
        cluster.timers.advance(1_110);
        // A new configuration version makes the origin send its status between two statuses of the holder.
        origin.coordinator().applyConfiguration(FakeCluster.catalog(2));
        cluster.timers.advance(890);
        assertEquals(holder.coordinator().heldShardCount(), 1);
        assertEquals(origin.coordinator().heldShardCount(), 1);
        cluster.submit(origin, JOB, 4);
        cluster.timers.advance(200 + millis);
        int cutOff = 0;
        while (hobart.get(cutOff).running() != 2) {
            cutOff++;
        }
        unreachable.add(EndpointId.of("w-" + (cutOff + 1)));
        for (FakeNode other : ImmutableList.of(successor, origin)) {
            cut(holder, other);
            cut(other, holder);
        }
        cluster.timers.advance(5_000);
    }

    private void cut(FakeNode from, FakeNode to) {
        cluster.connections.stall(from.id(), to.id(), LONG_MILLIS);
        cluster.connections.refuseConnections(from.id(), to.id(), LONG_MILLIS);
    }

    private FakeNode addNode(String name, int number, FailureDomain domain, int milliCores, EndpointOrders orders) {
        return cluster.addNode(name, number, domain, milliCores, orders, cluster.timers);
    }

    /** Endpoint calls of the nodes on the other side of the partition. */
    private final class PartlyCutOrders implements EndpointOrders {
        @Override
        public void poll(EndpointEntry entry, PollOrder order, Delivery delivery, Consumer<PollAnswer> reply) {
            if (unreachable.contains(entry.id())) {
                long timeoutMillis = order.waitMillis() + delivery.answerWithinMillis();
                cluster.timers.schedule(timeoutMillis, () -> reply.accept(PollAnswer.failed(OrderResult.UNKNOWN)));
            } else {
                cluster.orders.poll(entry, order, delivery, reply);
            }
        }

        @Override
        public void start(EndpointEntry entry, StartOrder order, Delivery delivery, Consumer<OrderAnswer> reply) {
            if (unreachable.contains(entry.id())) {
                noAnswer(delivery, reply);
            } else {
                cluster.orders.start(entry, order, delivery, reply);
            }
        }

        @Override
        public void stop(
                EndpointEntry entry, FencingToken token, TaskRun run, Delivery delivery, Consumer<OrderAnswer> reply) {
            if (unreachable.contains(entry.id())) {
                noAnswer(delivery, reply);
            } else {
                cluster.orders.stop(entry, token, run, delivery, reply);
            }
        }

        private void noAnswer(Delivery delivery, Consumer<OrderAnswer> reply) {
            cluster.timers.schedule(
                    delivery.answerWithinMillis(), () -> reply.accept(OrderAnswer.of(OrderResult.UNKNOWN)));
        }
    }
}
