package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
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
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobReply;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.JobService;
import org.tarragonarch.model.task.QueueCatalog;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskStep;
import org.tarragonarch.model.task.Timers;

/**
 * Nodes and endpoints of up to three failure domains of one region, each a separate pool unless created by
 * {@link #pooled}, on virtual time. Each endpoint has capacity for two tasks of 3 s.
 */
final class FakeCluster {
    static final FailureDomain HOBART = FailureDomain.of("hobart");
    static final FailureDomain LAUNCESTON = FailureDomain.of("launceston");
    static final FailureDomain DEVONPORT = FailureDomain.of("devonport");
    private static final long RUN_MILLIS = 3_000;
    /** The time in which a job must be answered, in milliseconds. */
    static final long DEADLINE_MILLIS = 8_000;

    static final long TASK_MILLI_CORES = 7_000;
    private static final Resources CAPACITY = new Resources(16_000, 32_768, 0);
    private static final Region REGION = Region.of("south");
    private static final QueueDefinition QUEUE = new QueueDefinition("checks", "h", "/p/", "board", 0, 3, 1.6, 60);

    /** Enough for a separate pool per domain; they serve no queue, so no holder polls them. */
    private static final int OTHER_ENDPOINTS = 100;

    final VirtualTimers timers = new VirtualTimers();
    final Ledger ledger = new Ledger();
    final FakeConnections connections = new FakeConnections(timers);
    final FakeOrders orders = new FakeOrders(timers, TASK_MILLI_CORES);
    private final FakeCancellationRows cancellationRows = new FakeCancellationRows(timers);
    private final EndpointList listed = new EndpointList();
    private final ImmutableMap<FailureDomain, Region> regions;

    /** Creates a cluster with two failure domains, without nodes. */
    FakeCluster() {
        this(ImmutableSet.of(HOBART, LAUNCESTON));
    }

    /** Creates a cluster with these failure domains, each a separate pool, without nodes. */
    FakeCluster(ImmutableSet<FailureDomain> domains) {
        this(domains, OTHER_ENDPOINTS);
    }

    private FakeCluster(ImmutableSet<FailureDomain> domains, int otherEndpoints) {
        regions = Maps.toMap(domains, domain -> REGION);
        for (int number = 0; number < otherEndpoints; number++) {
            list("other-" + number, "other", HOBART);
        }
    }

    /** Returns a cluster in which the two failure domains form one pool. */
    static FakeCluster pooled() {
        return new FakeCluster(ImmutableSet.of(HOBART, LAUNCESTON), 0);
    }

    static QueueCatalog catalog(long version) {
        return QueueCatalog.of(version, ImmutableList.of(QUEUE));
    }

    FakeEndpoint addEndpoint(String name, FailureDomain domain) {
        FakeEndpoint endpoint = addUnlistedEndpoint(name);
        list(name, QUEUE.service(), domain);
        return endpoint;
    }

    /** Adds an endpoint that is not listed yet. */
    FakeEndpoint addUnlistedEndpoint(String name) {
        FakeEndpoint endpoint = new FakeEndpoint(timers, ledger, CAPACITY.milliCores());
        endpoint.setRunMillis(RUN_MILLIS);
        orders.add(EndpointId.of(name), endpoint);
        return endpoint;
    }

    /** Returns the listed endpoints that serve the queue. */
    ImmutableList<EndpointEntry> listedEndpoints() {
        return listed.all().stream()
                .filter(entry -> entry.service().equals(QUEUE.service()))
                .collect(ImmutableList.toImmutableList());
    }

    /** Lists an entry, which replaces an earlier one with its id. */
    void list(EndpointEntry entry) {
        listed.recordListed(entry, timers.nowMillis());
    }

    /** Removes an entry from the list. */
    void unlist(EndpointId id) {
        listed.recordUnlisted(id, timers.nowMillis());
    }

    private void list(String name, String service, FailureDomain domain) {
        Address address = new Address("10.0.1.1", 80);
        listed.recordListed(
                new EndpointEntry(EndpointId.of(name), service, address, domain, false, CAPACITY, false), 0);
    }

    /**
     * Adds a node without starting it.
     *
     * @param orders the node's endpoint calls
     * @param clock the node's steady clock
     */
    FakeNode addNode(
            String name, int number, FailureDomain domain, int milliCores, EndpointOrders orders, Timers clock) {
        return addNode(name, number, domain, milliCores, orders, clock, (source, event) -> event.run());
    }

    /** Adds a node on a machine that can be suspended, without starting it. */
    FakeNode addNode(String name, int number, FailureDomain domain, int milliCores, SuspendableNode machine) {
        return addNode(name, number, domain, milliCores, machine, machine, machine);
    }

    private FakeNode addNode(
            String name,
            int number,
            FailureDomain domain,
            int milliCores,
            EndpointOrders orders,
            Timers clock,
            Inbox inbox) {
        Member self = new Member(NodeId.of(name), domain, new Address("10.0.0." + number, 7_000), milliCores);
        ShardPools pools = new ShardPools(regions, listed);
        FakeNode node = new FakeNode(
                self, pools, listed, orders, clock, timers::nowMillis, inbox, connections, cancellationRows);
        connections.add(node);
        return node;
    }

    /** Submits a job through a node. */
    JobService.Submission submit(FakeNode node, int job, int tasks) {
        return submit(node, job, tasks, reply -> {});
    }

    /** Submits a job through a node for a client that handles the reply. */
    JobService.Submission submit(FakeNode node, int job, int tasks, Consumer<JobReply> client) {
        TaskStep step = new TaskStep(tasks, new Resources(TASK_MILLI_CORES, 64, 0), RUN_MILLIS);
        JobRequest request = new JobRequest(new JobId(String.format("%016x", job)), "x", step);
        return node.coordinator().router().submit(QUEUE, request, DEADLINE_MILLIS, client);
    }
}
