package org.tarragonarch.benchmark.experiment;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tarragonarch.benchmark.time.VirtualTime;
import org.tarragonarch.core.shard.EndpointList;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.Region;
import org.tarragonarch.model.share.SharePlan;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.QueueCatalog;
import org.tarragonarch.model.task.Resources;

/** The nodes and endpoints of a run, and the network between them. */
final class Cluster {
    private static final Region REGION = Region.of("r");
    private static final long MEMORY_MB = 131_072;
    private static final int ENDPOINT_PORT = 80;
    private static final int LARGE_EVERY = 3;

    /** The time in which a node that was asked to stop still accepts jobs from its clients. */
    private static final long LEAVING_MILLIS = 2_800;

    private final VirtualTime time;
    private final LoadShape shape;
    private final ImmutableMap<FailureDomain, Region> regions;
    private final EndpointList endpointList = new EndpointList();
    private final MoveCount moveCount = new MoveCount();
    private final Map<EndpointId, ModelEndpoint> endpoints = new LinkedHashMap<>();
    private final Map<NodeId, ModelNode> nodes = new LinkedHashMap<>();

    Cluster(VirtualTime time, LoadShape shape, ModelEndpoint.TaskProfiles taskProfiles) {
        this.time = time;
        this.shape = shape;
        ImmutableMap.Builder<FailureDomain, Region> all = ImmutableMap.builder();
        for (int domain = 0; domain < shape.domains(); domain++) {
            all.put(domain(domain), REGION);
        }
        this.regions = all.buildOrThrow();
        for (int domain = 0; domain < shape.domains(); domain++) {
            for (int number = 0; number < shape.endpointsPerDomain(); number++) {
                addEndpoint(domain, number, taskProfiles);
            }
        }
    }

    private void addEndpoint(int domain, int number, ModelEndpoint.TaskProfiles taskProfiles) {
        long milliCores = number % LARGE_EVERY == LARGE_EVERY - 1
                ? shape.endpointMilliCores() * 3 / 2
                : shape.endpointMilliCores();
        EndpointEntry entry = new EndpointEntry(
                EndpointId.of("w-" + domain + "-" + number),
                JobKind.SERVICE,
                new Address("10.9." + domain + "." + (number + 1), ENDPOINT_PORT),
                domain(domain),
                false,
                new Resources(milliCores, MEMORY_MB, 0),
                false);
        double speed = shape.speeds().get(endpoints.size() % shape.speeds().size());
        endpoints.put(entry.id(), new ModelEndpoint(time, entry, domain, speed, taskProfiles));
        endpointList.recordListed(entry, 0);
    }

    FailureDomain domain(int number) {
        return FailureDomain.of("d" + number);
    }

    ImmutableMap<FailureDomain, Region> regions() {
        return regions;
    }

    QueueCatalog catalog() {
        return QueueCatalog.of(
                1,
                shape.kinds().stream().map(kind -> kind.queue(shape.stretch())).toList());
    }

    SharePlan shares() {
        return SharePlan.of(shape.shares());
    }

    MoveCount moveCount() {
        return moveCount;
    }

    EndpointList endpointList() {
        return endpointList;
    }

    EndpointOrders orders(ExperimentTimers timers, int domain) {
        return new ModelOrders(time, timers, shape, domain, endpoints);
    }

    ImmutableList<ModelEndpoint> endpoints() {
        return ImmutableList.copyOf(endpoints.values());
    }

    void startAll() {
        for (int domain = 0; domain < shape.domains(); domain++) {
            for (int number = 1; number <= shape.nodesPerDomain(); number++) {
                start(domain, number);
            }
        }
    }

    private void start(int domain, int number) {
        ModelNode node = new ModelNode(this, time, domain, number);
        nodes.put(node.id(), node);
        node.start();
    }

    /** Kills all nodes at the same time and restarts them after {@code forMillis} and the start time. */
    void powerOff(long forMillis) {
        nodes.values().forEach(ModelNode::kill);
        time.runAfter(TimeUnit.MILLISECONDS.toNanos(forMillis + shape.startMillis()), this::startAll);
    }

    /** Kills the node that holds most shards, breaks its connections, and restarts it after {@code forMillis}. */
    void killHolder(long forMillis) {
        end(holder(), forMillis);
    }

    /** Stops the node that holds most shards as an update does: it ends after its clients have moved to others. */
    void stopHolder(long forMillis) {
        ModelNode holder = holder();
        holder.coordinator().leave();
        after(LEAVING_MILLIS, () -> end(holder, forMillis));
    }

    /** Pauses the node that holds most shards; messages sent to it meanwhile arrive when it resumes. */
    void pauseHolder(long forMillis) {
        ModelNode holder = holder();
        holder.pause();
        after(forMillis, holder::resume);
    }

    /** Cuts a node without shards off from all other nodes, but not from endpoints and clients. */
    void cutOffNonHolder(long forMillis) {
        ModelNode node = liveNodes().stream()
                .filter(each -> each.coordinator().heldShardCount() == 0)
                .findFirst()
                .orElseThrow();
        node.cutOff(true);
        after(forMillis, () -> node.cutOff(false));
    }

    private ModelNode holder() {
        return liveNodes().stream()
                .reduce((first, second) -> second.coordinator().heldShardCount()
                                > first.coordinator().heldShardCount()
                        ? second
                        : first)
                .orElseThrow();
    }

    private void end(ModelNode node, long forMillis) {
        if (!node.isAlive()) {
            return;
        }
        node.kill();
        liveNodes().forEach(each -> each.connectionLost(node.id()));
        String[] parts = node.id().value().split("-");
        after(forMillis + shape.startMillis(), () -> start(Integer.parseInt(parts[1]), Integer.parseInt(parts[2])));
    }

    private void after(long millis, Runnable event) {
        time.runAfter(TimeUnit.MILLISECONDS.toNanos(millis), event);
    }

    /** Returns the node that a client connects to: a node of the client's domain if one is in rotation, or else any. */
    Optional<ModelNode> nodeFor(int domain, int client) {
        List<ModelNode> near = liveNodes().stream()
                .filter(node -> node.domain() == domain && node.inRotation())
                .toList();
        List<ModelNode> reached = near.isEmpty() ? liveNodes() : near;
        return reached.isEmpty() ? Optional.empty() : Optional.of(reached.get(client % reached.size()));
    }

    ImmutableList<NodeId> otherNodes(NodeId own) {
        return nodes.keySet().stream().filter(node -> !node.equals(own)).collect(ImmutableList.toImmutableList());
    }

    ImmutableList<NodeId> otherNodes(NodeId own, Set<FailureDomain> domains) {
        return otherNodes(own).stream()
                .filter(node -> domains.contains(domain(nodes.get(node).domain())))
                .collect(ImmutableList.toImmutableList());
    }

    /** Delivers a message to a node after the latency; returns false if the node is not alive when it is sent. */
    boolean deliver(ModelNode from, NodeId to, Consumer<ModelNode> arrival) {
        ModelNode receiver = nodes.get(to);
        if (receiver == null || !receiver.isAlive()) {
            return false;
        }
        if (from.isCutOff() || receiver.isCutOff()) {
            return true;
        }
        long micros = shape.latencyMicros(from.domain(), receiver.domain());
        time.runAfter(TimeUnit.MICROSECONDS.toNanos(micros), () -> {
            if (receiver.isAlive()) {
                receiver.timers().runWhenResumed(() -> arrival.accept(receiver));
            }
        });
        return true;
    }

    private List<ModelNode> liveNodes() {
        return new ArrayList<>(
                nodes.values().stream().filter(ModelNode::isAlive).toList());
    }
}
