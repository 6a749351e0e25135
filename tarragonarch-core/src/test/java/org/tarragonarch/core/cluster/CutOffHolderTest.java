package org.tarragonarch.core.cluster;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.tarragonarch.core.placing.FakeEndpoint;
import org.tarragonarch.core.placing.FakeOrders;
import org.tarragonarch.core.placing.Ledger;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.core.shard.EndpointList;
import org.tarragonarch.core.shard.ShardPools;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.Region;
import org.tarragonarch.model.report.Member;
import org.tarragonarch.model.task.Delivery;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.HoldAnswer;
import org.tarragonarch.model.task.HoldOrder;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.OrderResult;
import org.tarragonarch.model.task.QueueCatalog;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.StartOrder;
import org.tarragonarch.model.task.TaskRun;
import org.tarragonarch.model.task.TaskStep;
import org.testng.annotations.Test;

/**
 * One partition has a holder and one endpoint of its domain on one side, and all other nodes and endpoints on the
 * other: the holder renews the leases on that endpoint until it misses the job's node or is fenced.
 */
public final class CutOffHolderTest {
    private static final long RUN_MILLIS = 3_000;
    private static final long DEADLINE_MILLIS = 8_000;
    private static final long TASK_MILLI_CORES = 7_000;
    private static final long LONG_MILLIS = 60_000;

    /** Room for two tasks. */
    private static final Resources CAPACITY = new Resources(16_000, 32_768, 0);

    private static final Region REGION = Region.of("south");
    private static final FailureDomain HOBART = FailureDomain.of("hobart");
    private static final FailureDomain LAUNCESTON = FailureDomain.of("launceston");
    private static final QueueDefinition QUEUE = new QueueDefinition("checks", "h", "/p/", "board", 0, 3, 1.6, 60);
    private static final int OTHER_ENDPOINTS = 100;

    private final VirtualTimers timers = new VirtualTimers();
    private final Ledger ledger = new Ledger();
    private final FakeConnections connections = new FakeConnections(timers);
    private final EndpointList listed = new EndpointList();
    private final FakeOrders orders = new FakeOrders(timers, TASK_MILLI_CORES);
    private final Set<EndpointId> unreachable = new HashSet<>();

    /**
     * Guards against a task that starts again as its lease is counted from the moment at which the job's node misses
     * the holder, although the holder has renewed it after that.
     */
    @Test
    public void testPartition_holderRenewsAfterTheNodeMissesIt() {
        List<String> broken = new ArrayList<>();
        for (int atMillis = 0; atMillis < 200; atMillis += 10) {
            CutOffHolderTest test = new CutOffHolderTest();
            test.partitionAfter(atMillis);
            if (!test.ledger.broken().isEmpty()) {
                broken.add("cut " + atMillis + " ms later: " + test.ledger.broken());
            }
        }
        assertEquals(broken.toString(), "[]");
    }

    private void partitionAfter(int millis) {
        List<FakeEndpoint> hobart = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            hobart.add(addEndpoint("w-" + number, HOBART));
        }
        addEndpoint("w-4", LAUNCESTON);
        for (int number = 0; number < OTHER_ENDPOINTS; number++) {
            list("other-" + number, "other", HOBART);
        }
        // Nodes review their peers every 0.1 s: the job's node 5 ms after the holder, the successor 95 ms after it.
        FakeNode successor = addNode("a", 1, HOBART, 900, new PartlyCutOrders());
        FakeNode holder = addNode("b", 2, HOBART, 750, orders);
        FakeNode jobNode = addNode("c", 3, LAUNCESTON, 900, new PartlyCutOrders());
        QueueCatalog catalog = QueueCatalog.of(1, ImmutableList.of(QUEUE));
        holder.start(catalog);
        timers.pass(5);
        jobNode.start(catalog);
        timers.pass(1_190);
        successor.start(catalog);
        timers.pass(1_110);
        // The configuration's next version makes the job's node send its status between two of the holder's.
        jobNode.coordinator().configured(QueueCatalog.of(2, ImmutableList.of(QUEUE)));
        timers.pass(890);
        assertEquals(holder.coordinator().heldShards(), 1);
        assertEquals(jobNode.coordinator().heldShards(), 1);
        submit(jobNode, 4);
        timers.pass(200 + millis);
        int cutOff = 0;
        while (hobart.get(cutOff).running() != 2) {
            cutOff++;
        }
        unreachable.add(EndpointId.of("w-" + (cutOff + 1)));
        for (FakeNode other : ImmutableList.of(successor, jobNode)) {
            cut(holder, other);
            cut(other, holder);
        }
        timers.pass(5_000);
    }

    private void cut(FakeNode from, FakeNode to) {
        connections.stall(from.id(), to.id(), LONG_MILLIS);
        connections.refuse(from.id(), to.id(), LONG_MILLIS);
    }

    private FakeEndpoint addEndpoint(String name, FailureDomain domain) {
        FakeEndpoint endpoint = new FakeEndpoint(timers, ledger, CAPACITY.milliCores());
        endpoint.runsFor(RUN_MILLIS);
        orders.add(EndpointId.of(name), endpoint);
        list(name, QUEUE.service(), domain);
        return endpoint;
    }

    private void list(String name, String service, FailureDomain domain) {
        Address address = new Address("10.0.1.1", 80);
        listed.listed(new EndpointEntry(EndpointId.of(name), service, address, domain, false, CAPACITY, false));
    }

    private FakeNode addNode(String name, int number, FailureDomain domain, int milliCores, EndpointOrders way) {
        Member self = new Member(NodeId.of(name), domain, new Address("10.0.0." + number, 7_000), milliCores);
        ShardPools pools = new ShardPools(ImmutableMap.of(HOBART, REGION, LAUNCESTON, REGION), listed);
        FakeNode node = new FakeNode(self, pools, listed, way, timers, connections);
        connections.add(node);
        return node;
    }

    private void submit(FakeNode node, int tasks) {
        TaskStep step = new TaskStep(tasks, new Resources(TASK_MILLI_CORES, 64, 0), RUN_MILLIS);
        JobRequest request = new JobRequest(new JobId(String.format("%016x", 1)), "x", step);
        node.coordinator().router().submit(QUEUE, request, DEADLINE_MILLIS, reply -> {});
    }

    /** The way of the nodes on the other side of the partition to endpoints. */
    private final class PartlyCutOrders implements EndpointOrders {
        @Override
        public void hold(EndpointEntry entry, HoldOrder order, Delivery delivery, Consumer<HoldAnswer> reply) {
            if (unreachable.contains(entry.id())) {
                long patience = order.waitMillis() + delivery.answerWithinMillis();
                timers.after(patience, () -> reply.accept(HoldAnswer.failed(OrderResult.UNKNOWN)));
            } else {
                orders.hold(entry, order, delivery, reply);
            }
        }

        @Override
        public void start(EndpointEntry entry, StartOrder order, Delivery delivery, Consumer<OrderAnswer> reply) {
            if (unreachable.contains(entry.id())) {
                noAnswer(delivery, reply);
            } else {
                orders.start(entry, order, delivery, reply);
            }
        }

        @Override
        public void stop(
                EndpointEntry entry, FencingToken token, TaskRun run, Delivery delivery, Consumer<OrderAnswer> reply) {
            if (unreachable.contains(entry.id())) {
                noAnswer(delivery, reply);
            } else {
                orders.stop(entry, token, run, delivery, reply);
            }
        }

        private void noAnswer(Delivery delivery, Consumer<OrderAnswer> reply) {
            timers.after(delivery.answerWithinMillis(), () -> reply.accept(OrderAnswer.of(OrderResult.UNKNOWN)));
        }
    }
}
