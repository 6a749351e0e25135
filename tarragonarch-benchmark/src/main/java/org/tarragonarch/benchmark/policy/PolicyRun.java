package org.tarragonarch.benchmark.policy;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.tarragonarch.benchmark.time.VirtualTime;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.model.platform.VmState;

/** A simulation of one policy in one scenario: 8 nodes and 30 endpoints of 8 slots in three failure domains. */
final class PolicyRun {
    private static final long SECOND = 1_000_000_000L;
    private static final int[] NODES = {3, 3, 2};
    private static final int ENDPOINTS_PER_DOMAIN = 10;
    private static final int SLOTS = 8;
    private static final long WARM_UP_NANOS = 10 * SECOND;
    private static final long FAULT_AT_NANOS = 30 * SECOND;
    private static final long PAUSE_NANOS = 10 * SECOND;
    private static final long PEER_TIMEOUT_NANOS = 2 * SECOND;
    private static final long VM_LIST_PERIOD_NANOS = 2 * SECOND;

    final Policy policy;
    final UserShape shape;
    final VirtualTime time = new VirtualTime();
    final Measures measures = new Measures();
    final Map<EndpointId, EndpointModel> endpoints = new LinkedHashMap<>();
    private final Scenario scenario;
    private final List<NodeModel> nodes = new ArrayList<>();
    private final Workload workload;
    private final Random random;
    private final long endNanos;
    private final ImmutableList<VmRecord> vms;

    PolicyRun(Policy policy, UserShape shape, Scenario scenario, long seed, int seconds) {
        this.policy = policy;
        this.shape = shape;
        this.scenario = scenario;
        this.endNanos = seconds * SECOND;
        this.random = new Random(seed);
        this.vms = createEndpoints();
        this.workload = new Workload(scenario, endpoints.size() * SLOTS, random.nextLong());
        for (int domain = 0; domain < NODES.length; domain++) {
            createNodes(domain);
        }
    }

    static FailureDomain domainName(int domain) {
        return FailureDomain.of("domain-" + domain);
    }

    Measures run() {
        nodes.forEach(node -> time.runAt(0, () -> start(node)));
        time.runAt(0, this::scheduleArrivals);
        time.runAt(FAULT_AT_NANOS, this::injectFault);
        measures.slotNanos = (double) (endNanos - WARM_UP_NANOS) * endpoints.size() * SLOTS;
        time.runUntil(endNanos + NodeModel.DEADLINE_NANOS);
        return measures;
    }

    void jobRefused(Job job) {
        measures.jobsRefused += isMeasured(job) ? 1 : 0;
    }

    void jobLate(Job job) {
        measures.jobsLate += isMeasured(job) ? 1 : 0;
    }

    void taskFailed() {
        measures.tasksFailed++;
        measures.lastFailureNanos = time.nowNanos() - FAULT_AT_NANOS;
    }

    void jobCompleted(NodeModel node, Job job) {
        long response = time.nowNanos() - job.arrivedNanos + shape.clientRoundTripNanos();
        double ideal = job.longestRunNanos() + shape.unavoidableNanos();
        boolean ownedByPaused = scenario.fault() == Scenario.Fault.FROZEN_NODE && node == nodes.get(0);
        if (isMeasured(job) && !ownedByPaused) {
            measures.recordResponseRatio(response / ideal);
        }
        if (isInMeasuredPeriod()) {
            measures.served(job);
        }
    }

    /** Counts the run time of a task, whether or not its job is still open. */
    void recordSlotUse(long nanos) {
        measures.busyNanos += isInMeasuredPeriod() ? nanos : 0;
    }

    private boolean isInMeasuredPeriod() {
        return time.nowNanos() >= WARM_UP_NANOS && time.nowNanos() < endNanos;
    }

    private boolean isMeasured(Job job) {
        return job.arrivedNanos >= WARM_UP_NANOS;
    }

    private ImmutableList<VmRecord> createEndpoints() {
        ImmutableList.Builder<VmRecord> lines = ImmutableList.builder();
        for (int i = 0; i < NODES.length * ENDPOINTS_PER_DOMAIN; i++) {
            int domain = i / ENDPOINTS_PER_DOMAIN;
            EndpointId id = EndpointId.of("worker-" + i);
            endpoints.put(id, new EndpointModel(id, domain, SLOTS, time));
            lines.add(new VmRecord(
                    id.value(),
                    VmRole.ENDPOINT,
                    domainName(domain),
                    new Address("127.0.0.1", 9000 + i),
                    VmState.LIVE,
                    ImmutableSet.of(NodeModel.SERVICE),
                    SLOTS));
        }
        return lines.build();
    }

    private void createNodes(int domain) {
        List<NodeModel> nodesOfDomain = new ArrayList<>();
        for (int i = 0; i < NODES[domain]; i++) {
            NodeId id = NodeId.of("node-" + domain + "-" + i);
            nodesOfDomain.add(new NodeModel(id, domain, this, random.nextLong()));
        }
        for (NodeModel node : nodesOfDomain) {
            nodesOfDomain.stream().filter(peer -> peer != node).forEach(node.peers::add);
        }
        nodes.addAll(nodesOfDomain);
    }

    private void start(NodeModel node) {
        node.vmListRead(vms);
        node.setAliveNodes(aliveNodesSeenBy(node));
        every(VM_LIST_PERIOD_NANOS, () -> node.vmListRead(vms));
        // Spreads the reports of the nodes over the interval, as nodes in production start at different times.
        long interval = policy.reportInterval().toNanos();
        time.runAfter((long) (random.nextDouble() * interval), () -> every(interval, node::sendReports));
    }

    private void every(long nanos, Runnable task) {
        task.run();
        if (time.nowNanos() < endNanos) {
            time.runAfter(nanos, () -> every(nanos, task));
        }
    }

    private ImmutableSet<NodeId> aliveNodesSeenBy(NodeModel node) {
        ImmutableSet.Builder<NodeId> alive = ImmutableSet.<NodeId>builder().add(node.id);
        node.peers.stream().filter(peer -> !peer.isPaused()).forEach(peer -> alive.add(peer.id));
        return alive.build();
    }

    private void scheduleArrivals() {
        if (time.nowNanos() >= endNanos) {
            return;
        }
        Job job = workload.next(time.nowNanos());
        if (isMeasured(job)) {
            measures.offered(job);
        }
        nodes.get(random.nextInt(nodes.size())).submit(job);
        time.runAfter(workload.nextGapNanos(time.nowNanos()), this::scheduleArrivals);
    }

    private void injectFault() {
        NodeModel victim = nodes.get(0);
        switch (scenario.fault()) {
            case BLACK_HOLE -> endpoints.values().iterator().next().failing = true;
            case FROZEN_NODE -> {
                victim.pause(PAUSE_NANOS);
                time.runAfter(
                        PEER_TIMEOUT_NANOS,
                        () -> victim.peers.forEach(peer -> peer.setAliveNodes(aliveNodesSeenBy(peer))));
                time.runAfter(
                        PAUSE_NANOS, () -> victim.peers.forEach(peer -> peer.setAliveNodes(aliveNodesSeenBy(peer))));
            }
            case CANCEL_WAVE ->
                nodes.forEach(node -> ImmutableList.copyOf(node.jobs).stream()
                        .filter(job -> random.nextBoolean())
                        .forEach(node::cancel));
            case NONE -> {}
            default -> throw new AssertionError(scenario.fault());
        }
    }
}
