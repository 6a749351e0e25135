package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
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
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.JobService;
import org.tarragonarch.model.task.QueueCatalog;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskStep;

/**
 * Two failure domains of one region, each a pool of its own, with one endpoint for two tasks of 3 s in each; three
 * nodes in the first, of which one is its holder and another the next in line, and the holder of the second.
 */
final class SeparatePoolsFixture {
    static final int PLACES = 2;
    private static final long RUN_MILLIS = 3_000;
    private static final long DEADLINE_MILLIS = 8_000;
    private static final long TASK_MILLI_CORES = 7_000;
    private static final Resources CAPACITY = new Resources(16_000, 32_768, 0);
    private static final Region REGION = Region.of("south");
    private static final FailureDomain HOBART = FailureDomain.of("hobart");
    private static final FailureDomain LAUNCESTON = FailureDomain.of("launceston");
    private static final QueueDefinition QUEUE = new QueueDefinition("checks", "h", "/p/", "board", 0, 3, 1.6, 60);

    /** Enough for a pool per domain; they serve no queue, so nobody polls them. */
    private static final int OTHER_ENDPOINTS = 100;

    final VirtualTimers timers = new VirtualTimers();
    final Ledger ledger = new Ledger();
    final FakeConnections connections = new FakeConnections(timers);
    final FakeEndpoint hobartEndpoint;
    final FakeEndpoint launcestonEndpoint;
    final FakeNode hobartNode;
    final FakeNode hobartHolder;
    final FakeNode launcestonHolder;

    /** Lets the second domain's holder be suspended. */
    final SuspendableNode launcestonMachine;

    private final EndpointList listed = new EndpointList();
    private final FakeOrders orders = new FakeOrders(timers, TASK_MILLI_CORES);

    /** Creates nodes that know each other, with holders that have read their endpoints. */
    SeparatePoolsFixture() {
        hobartEndpoint = addEndpoint("w-1", HOBART);
        launcestonEndpoint = addEndpoint("w-2", LAUNCESTON);
        for (int number = 0; number < OTHER_ENDPOINTS; number++) {
            list("other-" + number, "other", HOBART);
        }
        launcestonMachine = new SuspendableNode(timers, orders);
        hobartNode = addNode("a", 1, HOBART, 750, new SuspendableNode(timers, orders));
        hobartHolder = addNode("b", 2, HOBART, 900, new SuspendableNode(timers, orders));
        launcestonHolder = addNode("c", 3, LAUNCESTON, 900, launcestonMachine);
        addNode("d", 4, HOBART, 800, new SuspendableNode(timers, orders));
        connections.nodes().forEach(node -> node.start(QueueCatalog.of(1, ImmutableList.of(QUEUE))));
        timers.pass(1_000);
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

    private FakeNode addNode(String name, int number, FailureDomain domain, int milliCores, SuspendableNode machine) {
        Member self = new Member(NodeId.of(name), domain, new Address("10.0.0." + number, 7_000), milliCores);
        ShardPools pools = new ShardPools(ImmutableMap.of(HOBART, REGION, LAUNCESTON, REGION), listed);
        FakeNode node = new FakeNode(self, pools, listed, machine, machine, connections);
        connections.add(node);
        return node;
    }

    /** Submits a job through a node. */
    JobService.Submission submit(FakeNode node, int job, int tasks) {
        TaskStep step = new TaskStep(tasks, new Resources(TASK_MILLI_CORES, 64, 0), RUN_MILLIS);
        JobRequest request = new JobRequest(new JobId(String.format("%016x", job)), "x", step);
        return node.coordinator().router().submit(QUEUE, request, DEADLINE_MILLIS, reply -> {});
    }
}
