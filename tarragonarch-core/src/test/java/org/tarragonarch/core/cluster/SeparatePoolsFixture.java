package org.tarragonarch.core.cluster;

import static org.tarragonarch.core.cluster.FakeCluster.HOBART;
import static org.tarragonarch.core.cluster.FakeCluster.LAUNCESTON;

import java.util.function.Consumer;
import org.tarragonarch.core.placing.FakeEndpoint;
import org.tarragonarch.core.placing.Ledger;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.task.JobReply;
import org.tarragonarch.model.task.JobService;

/**
 * A cluster with two failure domains of one endpoint each: three nodes in the first, of which one is its holder and one
 * the holder's successor, and one node in the second, which is its holder.
 */
final class SeparatePoolsFixture {
    /** The number of tasks that use the full capacity of an endpoint. */
    static final int TASKS_PER_ENDPOINT = 2;

    final VirtualTimers timers;
    final Ledger ledger;
    final FakeConnections connections;
    final FakeEndpoint hobartEndpoint;
    final FakeEndpoint launcestonEndpoint;
    final FakeNode hobartNode;
    final FakeNode hobartHolder;
    final FakeNode launcestonHolder;

    /** Clock and endpoint calls of the second domain's holder, which can be suspended. */
    final SuspendableNode launcestonMachine;

    /** Clock and endpoint calls of the node without shards, which can be suspended. */
    final SuspendableNode hobartMachine;

    private final FakeCluster cluster = new FakeCluster();

    /** Starts the nodes and waits until they know each other and the holders have read their lists of endpoints. */
    SeparatePoolsFixture() {
        timers = cluster.timers;
        ledger = cluster.ledger;
        connections = cluster.connections;
        hobartEndpoint = cluster.addEndpoint("w-1", HOBART);
        launcestonEndpoint = cluster.addEndpoint("w-2", LAUNCESTON);
        launcestonMachine = machine();
        hobartMachine = machine();
        hobartNode = addNode("a", 1, HOBART, 750, hobartMachine);
        hobartHolder = addNode("b", 2, HOBART, 900, machine());
        launcestonHolder = addNode("c", 3, LAUNCESTON, 900, launcestonMachine);
        addNode("d", 4, HOBART, 800, machine());
        connections.nodes().forEach(node -> node.start(FakeCluster.catalog(1)));
        timers.advance(1_000);
    }

    private SuspendableNode machine() {
        return new SuspendableNode(timers, cluster.orders);
    }

    private FakeNode addNode(String name, int number, FailureDomain domain, int milliCores, SuspendableNode machine) {
        return cluster.addNode(name, number, domain, milliCores, machine);
    }

    /** Submits a job through a node. */
    JobService.Submission submit(FakeNode node, int job, int tasks) {
        return cluster.submit(node, job, tasks);
    }

    /** Submits a job through a node for a client that handles the reply. */
    JobService.Submission submit(FakeNode node, int job, int tasks, Consumer<JobReply> client) {
        return cluster.submit(node, job, tasks, client);
    }
}
