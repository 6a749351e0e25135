package org.tarragonarch.core.endpoint;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.HashSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.event.ProbeEnded;
import org.tarragonarch.core.event.TaskEnded;
import org.tarragonarch.core.placement.PlacementStrategy;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.model.platform.VmState;
import org.tarragonarch.model.report.PeerReport;
import org.tarragonarch.model.service.ServiceObjective;

/**
 * Every endpoint that the node knows, with its load and health, and the choice among them.
 *
 * <p>An endpoint gets no new work while the platform's list, its own answer or a peer says that it leaves, while an
 * operator has it out, while no connection to it comes about, and while it fails what others do not fail. The list
 * lags, so its word alone never brings back an endpoint that said it leaves: a probe does, or another address.
 *
 * <p>Not safe for use by several threads. A choice or the end of a task costs time by the logarithm of an endpoint's
 * slots, whatever the number of endpoints.
 */
public final class EndpointDirectory {
    private final NodeId self;
    private final EndpointPools pools;
    private final EndpointRecords records;
    private final OperatorDrains drains = new OperatorDrains();
    private final PeerViews peers = new PeerViews();
    private final PeerEffects peerEffects;
    private final TaskResults results;
    private final EndpointViews views;
    private final EndpointProbes probes;

    private EndpointDirectory(NodeId self, FailureDomain own, Random random, PlacementStrategy strategy) {
        this.self = checkNotNull(self, "self");
        this.pools = new EndpointPools(
                checkNotNull(own, "own"), checkNotNull(random, "random"), checkNotNull(strategy, "strategy"));
        this.probes = new EndpointProbes(self, random, pools, peers);
        this.records = new EndpointRecords(self, pools, probes);
        this.peerEffects = new PeerEffects(records, pools, probes);
        this.results = new TaskResults(pools, probes);
        this.views = new EndpointViews(records.byId());
    }

    /**
     * Returns a directory that knows no endpoint.
     *
     * @param self the node that chooses
     * @param own the failure domain it stands in
     * @param random the source of every random choice, seeded by the node
     */
    public static EndpointDirectory create(NodeId self, FailureDomain own, Random random) {
        return create(self, own, random, PlacementStrategy.SLOT_SHARES);
    }

    /** Returns a directory that knows no endpoint and chooses by the given strategy. */
    public static EndpointDirectory create(NodeId self, FailureDomain own, Random random, PlacementStrategy strategy) {
        return new EndpointDirectory(self, own, random, strategy);
    }

    /**
     * Updates the endpoints from the platform's list.
     *
     * <p>An endpoint that it does not name is dropped, unless the list is doubtful: see {@link MissingEndpoints}.
     */
    public void vmListRead(ImmutableList<VmRecord> vms, long nowNanos, ActionSink sink) {
        peers.forgetBefore(nowNanos - HealthPolicy.PEER_REPORT_VALID_NANOS, peerEffects.listenerAt(nowNanos, sink));
        Set<EndpointId> named = new HashSet<>();
        for (VmRecord vm : vms) {
            if (vm.role() == VmRole.ENDPOINT) {
                EndpointId id = EndpointId.of(vm.name());
                named.add(id);
                takeLine(id, vm, nowNanos, sink);
            }
        }
        for (EndpointRecord endpoint :
                MissingEndpoints.findRemovable(records.byId().values(), named, nowNanos)) {
            endpoint.markUnlisted();
            EndpointNotes.emit(NoteEvent.ENDPOINT_GONE, endpoint.id(), "list", sink);
            records.refresh(endpoint, nowNanos);
        }
        // Only once the whole list is processed is it known how many endpoints can be spared.
        records.snapshot().forEach(endpoint -> peerEffects.updatePeerQuarantine(endpoint, nowNanos, sink));
    }

    /** Records the nodes of the own failure domain that are alive, this one among them. */
    public void setAliveNodes(ImmutableSet<NodeId> nowAlive, long nowNanos, ActionSink sink) {
        ImmutableSet<NodeId> withSelf =
                ImmutableSet.<NodeId>builder().addAll(nowAlive).add(self).build();
        if (withSelf.equals(records.aliveNodes())) {
            return;
        }
        ImmutableSet<NodeId> before = records.aliveNodes();
        records.aliveNodes(withSelf);
        Sets.difference(before, withSelf).forEach(node -> peers.forget(node, peerEffects.listenerAt(nowNanos, sink)));
        records.updateShares(nowNanos);
    }

    /** Processes what a peer reported of loads, leaving endpoints and quarantine. */
    public void peerReported(PeerReport report, long nowNanos, ActionSink sink) {
        if (!report.from().equals(self)) {
            peers.update(report, nowNanos, peerEffects.listenerAt(nowNanos, sink));
        }
    }

    /** Takes an endpoint out of use for an operator, or puts it back; holds also if it is listed only later. */
    public void setDrained(EndpointId endpoint, boolean out, long nowNanos, ActionSink sink) {
        drains.setDrained(endpoint, out);
        records.find(endpoint).ifPresent(record -> followDrains(record, nowNanos, sink));
    }

    /** Records which failure domains operators have drained; endpoints there get no task, also if listed later. */
    public void setDrainedDomains(ImmutableSet<FailureDomain> domains, long nowNanos, ActionSink sink) {
        drains.setDrainedDomains(domains);
        records.snapshot().forEach(record -> followDrains(record, nowNanos, sink));
    }

    private void followDrains(EndpointRecord endpoint, long nowNanos, ActionSink sink) {
        boolean out = drains.isDrained(endpoint.id(), endpoint.vm().domain());
        if (out != endpoint.isDrained()) {
            endpoint.setDrained(out);
            EndpointNotes.emit(
                    out ? NoteEvent.ENDPOINT_LEAVING : NoteEvent.ENDPOINT_READMITTED, endpoint.id(), "operator", sink);
            records.refresh(endpoint, nowNanos);
        }
    }

    /**
     * Reserves a slot for one task.
     *
     * <p>An empty answer means that the task should wait: until a task ends, a report or a list comes in, or
     * {@link #timePassed} does something.
     *
     * @param service the service whose task it is
     * @param favour the measure that the service favours
     * @param avoid endpoints that already failed this task
     * @return the endpoint, or nothing if none should get a task now
     */
    public Optional<Endpoint> reserve(
            ServiceName service, ServiceObjective favour, Set<EndpointId> avoid, long nowNanos) {
        return pools.choose(service, favour, avoid, nowNanos)
                .map(slots -> take(records.find(slots.endpoint()).orElseThrow(), nowNanos));
    }

    /**
     * Gives a reserved slot back and judges the endpoint by how the task ended.
     *
     * @param ended how the task ended
     * @param service the service whose task it was
     * @param kind the task's kind
     * @param runNanos the time from sending to the end
     */
    public void taskEnded(
            TaskEnded ended, ServiceName service, KindName kind, long runNanos, long nowNanos, ActionSink sink) {
        records.find(ended.endpoint()).ifPresent(endpoint -> {
            results.taskEnded(endpoint, ended, service, kind, nowNanos, sink);
            records.refresh(endpoint, nowNanos);
        });
    }

    /**
     * Gives a reserved slot back without judging the endpoint, because this node stopped the task.
     *
     * <p>A stopped task ends as failed or lost through no fault of its endpoint; judged by it, a wave of cancels would
     * put healthy endpoints into quarantine.
     */
    public void stoppedTaskEnded(TaskEnded ended, long nowNanos, ActionSink sink) {
        records.find(ended.endpoint()).ifPresent(endpoint -> {
            results.stoppedTaskEnded(endpoint, ended, nowNanos, sink);
            records.refresh(endpoint, nowNanos);
        });
    }

    /** Processes the end of a probe. */
    public void probeEnded(ProbeEnded ended, long nowNanos, ActionSink sink) {
        EndpointRecord endpoint = records.find(ended.endpoint()).orElse(null);
        if (endpoint == null) {
            return;
        }
        endpoint.nextProbeNanos(EndpointRecord.NEVER);
        if (ended.leaving()) {
            probes.markLeaving(endpoint, "its answer to a probe", nowNanos, sink);
        } else if (ended.healthy()) {
            probes.probeSucceeded(endpoint, nowNanos, sink);
        } else {
            probes.markUnreachable(endpoint, nowNanos, sink);
        }
        records.refresh(endpoint, nowNanos);
    }

    /** Does what is due: probes, and the end of waits after a refusal. */
    public void timePassed(long nowNanos, ActionSink sink) {
        if (pools.nextRetryNanos() <= nowNanos) {
            pools.clearNextRetry();
        }
        for (Optional<EndpointRecord> due = probes.pollDue(nowNanos); due.isPresent(); due = probes.pollDue(nowNanos)) {
            EndpointRecord endpoint = due.get();
            if (!records.contains(endpoint)) {
                continue;
            }
            if (endpoint.nextProbeNanos() <= nowNanos) {
                probes.probe(endpoint, nowNanos, sink);
            }
            if (endpoint.nextDecayNanos() <= nowNanos) {
                endpoint.decayRefusal(nowNanos);
                probes.scheduleWake(endpoint, endpoint.nextDecayNanos());
            }
            records.refresh(endpoint, nowNanos);
        }
    }

    /** Returns when {@link #timePassed} is next worth calling; {@code Long.MAX_VALUE} for never. */
    public long nextWakeNanos() {
        return Math.min(probes.nextWakeNanos(), pools.nextRetryNanos());
    }

    /** Returns whether any endpoint of the service may get work, now or once a slot is free. */
    public boolean hasUsableEndpoint(ServiceName service) {
        return pools.usableSlots(service) > 0;
    }

    /** Returns how many slots this node may count on for the service, for estimates of the wait. */
    public int slotsPerNode(ServiceName service) {
        int open = pools.usableSlots(service);
        return open == 0 ? 0 : Math.max(1, open / records.aliveNodes().size());
    }

    /** Returns how many slots all nodes of the failure domain may use together for the service. */
    public int totalSlots(ServiceName service) {
        return pools.usableSlots(service);
    }

    /** Returns what this node knows of its endpoints, as it is at each call. */
    public EndpointViews views() {
        return views;
    }

    private void takeLine(EndpointId id, VmRecord vm, long nowNanos, ActionSink sink) {
        EndpointRecord endpoint = records.find(id).orElse(null);
        if (endpoint == null) {
            endpoint = new EndpointRecord(id, vm);
            endpoint.setDrained(drains.isDrained(id, vm.domain()));
            endpoint.slots().peersChanged(peers.inFlight(id));
            endpoint.adjustPeerQuarantines(peers.peersQuarantining(id).size());
            records.add(endpoint);
            EndpointNotes.emit(NoteEvent.ENDPOINT_APPEARED, id, "list", sink);
        } else if (vm.equals(endpoint.vm()) && endpoint.isListed()) {
            return;
        } else {
            pools.remove(endpoint);
            endpoint.markListed(vm);
        }
        if (vm.state() == VmState.LEAVING) {
            probes.markLeaving(endpoint, "list", nowNanos, sink);
        }
        records.updateShare(endpoint);
        records.refresh(endpoint, nowNanos);
    }

    private Endpoint take(EndpointRecord endpoint, long nowNanos) {
        endpoint.slots().taken();
        records.refresh(endpoint, nowNanos);
        return new Endpoint(endpoint.id(), endpoint.vm().address());
    }
}
