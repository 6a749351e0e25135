package org.tarragonarch.core.cluster;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.tarragonarch.core.placing.FakeEndpoint;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.QueueCatalog;

/** The cluster of a fault series, whose events are drawn at random and recorded. */
final class FaultFixture {
    private static final long SETTLE_MILLIS = 1_000;

    final FakeCluster cluster;
    /** Draws the faults; nothing else does, so that a seed stands for the same faults whatever the nodes do. */
    final Random random;

    private final Random resumeOrder;
    private final SteadyClock suspendedClock;
    private final List<FaultNode> nodes = new ArrayList<>();
    private final Map<EndpointId, FakeEndpoint> endpoints = new LinkedHashMap<>();
    private final List<SeriesClient> clients = new ArrayList<>();
    private final List<Consumer<FaultNode>> killObservers = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private long configurationVersion = 1;

    /**
     * Starts the nodes and waits until they know each other.
     *
     * @param suspendedClock what the clock of a suspended node does
     * @param seed decides what is drawn
     */
    FaultFixture(ClusterLayout layout, SteadyClock suspendedClock, long seed) {
        this.cluster = layout.cluster();
        this.suspendedClock = suspendedClock;
        this.random = new Random(seed);
        this.resumeOrder = new Random(seed);
        cluster.ledger.setObserver((event, at) -> log(event + " at " + idOf(at)));
        cluster.connections.setObserver(this::log);
        layout.build(this);
        nodes.forEach(FaultNode::start);
        cluster.timers.advance(SETTLE_MILLIS);
    }

    void addEndpoint(String name, FailureDomain domain) {
        endpoints.put(EndpointId.of(name), cluster.addEndpoint(name, domain));
    }

    /** Adds an endpoint that is not listed yet. */
    FakeEndpoint addUnlistedEndpoint(String name) {
        FakeEndpoint endpoint = cluster.addUnlistedEndpoint(name);
        endpoints.put(EndpointId.of(name), endpoint);
        return endpoint;
    }

    /** Tells all nodes that the list of endpoints has changed. */
    void endpointsChanged() {
        nodes.forEach(
                node -> node.deliver(endpoints, () -> node.node().coordinator().endpointsChanged()));
    }

    void addNode(String name, FailureDomain domain, int milliCores) {
        nodes.add(new FaultNode(cluster, name, nodes.size() + 1, domain, milliCores, resumeOrder, this::log));
    }

    VirtualTimers timers() {
        return cluster.timers;
    }

    /** Adds an event to the record. */
    void log(String event) {
        events.add(timers().nowMillis() + " " + event);
    }

    /** Returns all events in their order, each with its time. */
    List<String> events() {
        return events;
    }

    /** Adds a client that is told when the node that it called is killed. */
    void addClient(SeriesClient client) {
        clients.add(client);
        observeKills(client::nodeKilled);
    }

    /** Adds an observer of the nodes that are killed. */
    void observeKills(Consumer<FaultNode> observer) {
        killObservers.add(observer);
    }

    List<SeriesClient> clients() {
        return clients;
    }

    /** Returns the node that holds shards under a token. */
    FaultNode nodeOf(FencingToken token) {
        return nodes.stream()
                .filter(node -> token.toString().endsWith("/" + node.ip()))
                .findFirst()
                .orElseThrow();
    }

    FaultNode drawNode() {
        return nodes.get(random.nextInt(nodes.size()));
    }

    FaultNode drawOther(FaultNode than) {
        FaultNode other = drawNode();
        while (other == than) {
            other = drawNode();
        }
        return other;
    }

    /** Returns any node that has not been killed. */
    FaultNode drawNodeUp() {
        return drawNodeUp(random);
    }

    /** Returns any node that has not been killed. */
    FaultNode drawNodeUp(Random by) {
        ImmutableList<FaultNode> up = nodes.stream().filter(FaultNode::isUp).collect(ImmutableList.toImmutableList());
        return up.get(by.nextInt(up.size()));
    }

    long upNodes() {
        return nodes.stream().filter(FaultNode::isUp).count();
    }

    EndpointId drawEndpoint() {
        return List.copyOf(endpoints.keySet()).get(random.nextInt(endpoints.size()));
    }

    private EndpointId idOf(FakeEndpoint endpoint) {
        return endpoints.entrySet().stream()
                .filter(entry -> entry.getValue() == endpoint)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow();
    }

    FakeEndpoint endpoint(EndpointId id) {
        return endpoints.get(id);
    }

    /** Returns a time between the two, in milliseconds. */
    long drawMillis(int from, int to) {
        return from + random.nextInt(to - from);
    }

    SteadyClock suspendedClock() {
        return suspendedClock;
    }

    QueueCatalog nextConfiguration() {
        configurationVersion++;
        return FakeCluster.catalog(configurationVersion);
    }

    /** Kills a node, whose clients notice that. */
    void kill(FaultNode node) {
        node.kill();
        killObservers.forEach(observer -> observer.accept(node));
    }

    /** Starts a new incarnation of a killed node later. */
    void restartAfter(FaultNode node, long millis) {
        timers().schedule(millis, () -> {
            log(node + " starts again");
            node.restart();
        });
    }
}
