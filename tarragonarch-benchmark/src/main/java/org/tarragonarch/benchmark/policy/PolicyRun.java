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

/** One policy in one scenario with one seed: 8 nodes and 30 endpoints of 8 slots in three failure domains. */
final class PolicyRun {
    private static final long SECOND = 1_000_000_000L;
    private static final int[] NODES = {3, 3, 2};
    private static final int ENDPOINTS_PER_DOMAIN = 10;
    private static final int SLOTS = 8;
    private static final long WARM_UP_NANOS = 10 * SECOND;
    private static final long FAULT_AT_NANOS = 30 * SECOND;
    private static final long FROZEN_NANOS = 10 * SECOND;
    private static final long SILENCE_NANOS = 2 * SECOND;
    private static final long LIST_NANOS = 2 * SECOND;

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
        time.runAt(0, this::arrive);
        time.runAt(FAULT_AT_NANOS, this::fault);
        measures.slotNanos = (double) (endNanos - WARM_UP_NANOS) * endpoints.size() * SLOTS;
        time.runUntil(endNanos + NodeModel.DEADLINE_NANOS);
        return measures;
    }

    void jobRefused(Job job) {
        measures.jobsRefused += counts(job) ? 1 : 0;
    }

    void jobLate(Job job) {
        measures.jobsLate += counts(job) ? 1 : 0;
    }

    void taskFailed() {
        measures.tasksFailed++;
        measures.lastFailureNanos = time.nowNanos() - FAULT_AT_NANOS;
    }

    void jobCompleted(NodeModel node, Job job) {
        long response = time.nowNanos() - job.arrivedNanos + shape.clientRoundTripNanos();
        double ideal = job.longestRunNanos() + shape.unavoidableNanos();
        boolean ownedByFrozen = scenario.fault() == Scenario.Fault.FROZEN_NODE && node == nodes.get(0);
        if (counts(job) && !ownedByFrozen) {
            measures.recordResponseRatio(response / ideal);
        }
        if (inWindow()) {
            measures.served(job);
        }
    }

    /** Counts work that a slot has done, whether or not anybody still waits for it. */
    void recordSlotUse(long nanos) {
        measures.busyNanos += inWindow() ? nanos : 0;
    }

    private boolean inWindow() {
        return time.nowNanos() >= WARM_UP_NANOS && time.nowNanos() < endNanos;
    }

    private boolean counts(Job job) {
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
        List<NodeModel> ofDomain = new ArrayList<>();
        for (int i = 0; i < NODES[domain]; i++) {
            NodeId id = NodeId.of("node-" + domain + "-" + i);
            ofDomain.add(new NodeModel(id, domain, this, random.nextLong()));
        }
        for (NodeModel node : ofDomain) {
            ofDomain.stream().filter(peer -> peer != node).forEach(node.peers::add);
        }
        nodes.addAll(ofDomain);
    }

    private void start(NodeModel node) {
        node.vmListRead(vms);
        node.setAliveNodes(aliveWith(node));
        every(LIST_NANOS, () -> node.vmListRead(vms));
        // Nodes that report in step would all act on equally old reports; in life they start at different times.
        long interval = policy.reportInterval().toNanos();
        time.runAfter((long) (random.nextDouble() * interval), () -> every(interval, node::sendReports));
    }

    private void every(long nanos, Runnable task) {
        task.run();
        if (time.nowNanos() < endNanos) {
            time.runAfter(nanos, () -> every(nanos, task));
        }
    }

    private ImmutableSet<NodeId> aliveWith(NodeModel node) {
        ImmutableSet.Builder<NodeId> alive = ImmutableSet.<NodeId>builder().add(node.id);
        node.peers.stream().filter(peer -> !peer.isPaused()).forEach(peer -> alive.add(peer.id));
        return alive.build();
    }

    private void arrive() {
        if (time.nowNanos() >= endNanos) {
            return;
        }
        Job job = workload.next(time.nowNanos());
        if (counts(job)) {
            measures.offered(job);
        }
        nodes.get(random.nextInt(nodes.size())).submit(job);
        time.runAfter(workload.nextGapNanos(time.nowNanos()), this::arrive);
    }

    private void fault() {
        NodeModel victim = nodes.get(0);
        switch (scenario.fault()) {
            case BLACK_HOLE -> endpoints.values().iterator().next().failing = true;
            case FROZEN_NODE -> {
                victim.pause(FROZEN_NANOS);
                time.runAfter(SILENCE_NANOS, () -> victim.peers.forEach(peer -> peer.setAliveNodes(aliveWith(peer))));
                time.runAfter(FROZEN_NANOS, () -> victim.peers.forEach(peer -> peer.setAliveNodes(aliveWith(peer))));
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
