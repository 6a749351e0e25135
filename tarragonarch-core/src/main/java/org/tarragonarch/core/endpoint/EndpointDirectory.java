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
 * A directory of all endpoints known to the node, with their load and health, that selects endpoints for tasks.
 *
 * <p>An endpoint gets no new tasks while the platform's VM list, its own answers or a peer report that it is leaving,
 * while an operator has drained it, while connections to it fail, and while it fails tasks that succeed elsewhere. The
 * VM list lags behind, so a list alone never reinstates an endpoint that announced that it is leaving. Only a
 * successful probe or a new address does.
 *
 * <p>Not thread-safe. Selecting an endpoint and recording the end of a task take time logarithmic in the slots of an
 * endpoint, independent of the number of endpoints.
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

    private EndpointDirectory(NodeId self, FailureDomain ownDomain, Random random, PlacementStrategy strategy) {
        this.self = checkNotNull(self, "self");
        this.pools = new EndpointPools(
                checkNotNull(ownDomain, "ownDomain"),
                checkNotNull(random, "random"),
                checkNotNull(strategy, "strategy"));
        this.probes = new EndpointProbes(self, random, pools, peers);
        this.records = new EndpointRecords(self, pools, probes);
        this.peerEffects = new PeerEffects(records, pools, probes);
        this.results = new TaskResults(pools, probes);
        this.views = new EndpointViews(records.byId());
    }

    /**
     * Returns an empty directory with the default placement strategy.
     *
     * @param self the node that owns the directory
     * @param ownDomain the failure domain of the node
     * @param random the source of randomness for all choices, seeded by the node
     */
    public static EndpointDirectory create(NodeId self, FailureDomain ownDomain, Random random) {
        return create(self, ownDomain, random, PlacementStrategy.SLOT_SHARES);
    }

    /** Returns an empty directory that selects endpoints by the given strategy. */
    public static EndpointDirectory create(
            NodeId self, FailureDomain ownDomain, Random random, PlacementStrategy strategy) {
        return new EndpointDirectory(self, ownDomain, random, strategy);
    }

    /**
     * Updates the endpoints from the platform's VM list.
     *
     * <p>An endpoint missing from the list is removed, unless the list is doubtful; see {@link MissingEndpoints}.
     */
    public void vmListRead(ImmutableList<VmRecord> vms, long nowNanos, ActionSink sink) {
        peers.forgetBefore(nowNanos - HealthPolicy.PEER_REPORT_VALID_NANOS, peerEffects.listenerAt(nowNanos, sink));
        Set<EndpointId> listed = new HashSet<>();
        for (VmRecord vm : vms) {
            if (vm.role() == VmRole.ENDPOINT) {
                EndpointId id = EndpointId.of(vm.name());
                listed.add(id);
                updateEndpoint(id, vm, nowNanos, sink);
            }
        }
        for (EndpointRecord endpoint :
                MissingEndpoints.findRemovable(records.byId().values(), listed, nowNanos)) {
            endpoint.markUnlisted();
            EndpointNotes.emit(NoteEvent.ENDPOINT_GONE, endpoint.id(), "list", sink);
            records.refresh(endpoint, nowNanos);
        }
        // How many endpoints may be quarantined is known only after the whole list is processed.
        records.snapshot().forEach(endpoint -> peerEffects.updatePeerQuarantine(endpoint, nowNanos, sink));
    }

    /** Sets the live nodes of the own failure domain, including this one. */
    public void setAliveNodes(ImmutableSet<NodeId> alive, long nowNanos, ActionSink sink) {
        ImmutableSet<NodeId> withSelf =
                ImmutableSet.<NodeId>builder().addAll(alive).add(self).build();
        if (withSelf.equals(records.aliveNodes())) {
            return;
        }
        ImmutableSet<NodeId> before = records.aliveNodes();
        records.aliveNodes(withSelf);
        Sets.difference(before, withSelf).forEach(node -> peers.forget(node, peerEffects.listenerAt(nowNanos, sink)));
        records.updateShares(nowNanos);
    }

    /** Updates loads, leaving endpoints and quarantines from a report of a peer. */
    public void peerReported(PeerReport report, long nowNanos, ActionSink sink) {
        if (!report.from().equals(self)) {
            peers.update(report, nowNanos, peerEffects.listenerAt(nowNanos, sink));
        }
    }

    /** Drains or undrains an endpoint for an operator; also applies to an endpoint that is listed later. */
    public void setDrained(EndpointId endpoint, boolean drained, long nowNanos, ActionSink sink) {
        drains.setDrained(endpoint, drained);
        records.find(endpoint).ifPresent(record -> applyDrains(record, nowNanos, sink));
    }

    /** Sets the drained failure domains; their endpoints, including those listed later, get no tasks. */
    public void setDrainedDomains(ImmutableSet<FailureDomain> domains, long nowNanos, ActionSink sink) {
        drains.setDrainedDomains(domains);
        records.snapshot().forEach(record -> applyDrains(record, nowNanos, sink));
    }

    private void applyDrains(EndpointRecord endpoint, long nowNanos, ActionSink sink) {
        boolean drained = drains.isDrained(endpoint.id(), endpoint.vm().domain());
        if (drained != endpoint.isDrained()) {
            endpoint.setDrained(drained);
            EndpointNotes.emit(
                    drained ? NoteEvent.ENDPOINT_LEAVING : NoteEvent.ENDPOINT_READMITTED,
                    endpoint.id(),
                    "operator",
                    sink);
            records.refresh(endpoint, nowNanos);
        }
    }

    /**
     * Reserves a slot for one task.
     *
     * <p>If the result is empty, the caller should retry after a task has ended, a report or a VM list has arrived, or
     * {@link #timePassed} has run.
     *
     * @param service the service of the task
     * @param objective the objective of the service
     * @param avoid endpoints that already failed this task
     * @param nowNanos the current time in nanoseconds
     * @return the endpoint, or empty if no endpoint should get the task now
     */
    public Optional<Endpoint> reserve(
            ServiceName service, ServiceObjective objective, Set<EndpointId> avoid, long nowNanos) {
        return pools.choose(service, objective, avoid, nowNanos)
                .map(slots -> reserveSlot(records.find(slots.endpoint()).orElseThrow(), nowNanos));
    }

    /**
     * Releases a reserved slot and updates the endpoint's health from the result of the task.
     *
     * @param ended the end of the task
     * @param service the service of the task
     * @param kind the kind of the task
     * @param runNanos the time from sending the task to its end
     * @param nowNanos the current time in nanoseconds
     * @param sink receives the resulting actions
     */
    public void taskEnded(
            TaskEnded ended, ServiceName service, KindName kind, long runNanos, long nowNanos, ActionSink sink) {
        records.find(ended.endpoint()).ifPresent(endpoint -> {
            results.taskEnded(endpoint, ended, service, kind, nowNanos, sink);
            records.refresh(endpoint, nowNanos);
        });
    }

    /**
     * Releases the slot of a task that this node stopped, without counting the result.
     *
     * <p>A stopped task ends as failed or lost through no fault of its endpoint. If such results counted, many
     * cancellations at once would quarantine healthy endpoints.
     */
    public void stoppedTaskEnded(TaskEnded ended, long nowNanos, ActionSink sink) {
        records.find(ended.endpoint()).ifPresent(endpoint -> {
            results.stoppedTaskEnded(endpoint, ended, nowNanos, sink);
            records.refresh(endpoint, nowNanos);
        });
    }

    /** Updates the endpoint from the result of a probe. */
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

    /** Sends the probes that are due and decays old refusals. */
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

    /** Returns when {@link #timePassed} must next be called; {@code Long.MAX_VALUE} if not at all. */
    public long nextWakeNanos() {
        return Math.min(probes.nextWakeNanos(), pools.nextRetryNanos());
    }

    /** Returns whether any endpoint of the service may get tasks, now or once a slot is free. */
    public boolean hasUsableEndpoint(ServiceName service) {
        return pools.usableSlots(service) > 0;
    }

    /** Returns the number of slots of the service per live node, at least 1 if there are any; for wait estimates. */
    public int slotsPerNode(ServiceName service) {
        int total = pools.usableSlots(service);
        return total == 0 ? 0 : Math.max(1, total / records.aliveNodes().size());
    }

    /** Returns the number of slots that all nodes of the failure domain together may use for the service. */
    public int totalSlots(ServiceName service) {
        return pools.usableSlots(service);
    }

    /** Returns live views of the endpoints. */
    public EndpointViews views() {
        return views;
    }

    private void updateEndpoint(EndpointId id, VmRecord vm, long nowNanos, ActionSink sink) {
        EndpointRecord endpoint = records.find(id).orElse(null);
        if (endpoint == null) {
            endpoint = new EndpointRecord(id, vm);
            endpoint.setDrained(drains.isDrained(id, vm.domain()));
            endpoint.slots().addPeersInFlight(peers.inFlight(id));
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

    private Endpoint reserveSlot(EndpointRecord endpoint, long nowNanos) {
        endpoint.slots().taskSent();
        records.refresh(endpoint, nowNanos);
        return new Endpoint(endpoint.id(), endpoint.vm().address());
    }
}
