package org.tarragonarch.core.endpoint;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.action.ProbeEndpoint;
import org.tarragonarch.core.event.ProbeEnded;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.core.event.TaskEnded;
import org.tarragonarch.core.placement.PlacementStrategy;
import org.tarragonarch.core.placement.RendezvousHash;
import org.tarragonarch.core.status.EndpointStatus;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.model.platform.VmState;
import org.tarragonarch.model.report.EndpointLoad;
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
    private final Random random;
    private final EndpointPools pools;
    private final Map<EndpointId, EndpointRecord> records = new LinkedHashMap<>();
    private final Set<EndpointId> drained = new HashSet<>();
    private final FailureJudge judge = new FailureJudge();
    private final WakeQueue wakes = new WakeQueue();
    private final PeerViews peers = new PeerViews();
    private ImmutableSet<NodeId> alive;

    private EndpointDirectory(NodeId self, FailureDomain own, Random random, PlacementStrategy strategy) {
        this.self = checkNotNull(self, "self");
        this.random = checkNotNull(random, "random");
        this.pools = new EndpointPools(checkNotNull(own, "own"), random, checkNotNull(strategy, "strategy"));
        this.alive = ImmutableSet.of(self);
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
     * Takes in the platform's list.
     *
     * <p>An endpoint that it does not name is dropped, unless the list is doubtful: see {@link MissingEndpoints}.
     */
    public void listed(ImmutableList<VmRecord> vms, long nowNanos, ActionSink sink) {
        peers.forgetBefore(nowNanos - HealthPolicy.PEER_VIEW_NANOS, peerChanges(nowNanos, sink));
        Set<EndpointId> named = new HashSet<>();
        for (VmRecord vm : vms) {
            if (vm.role() == VmRole.ENDPOINT) {
                EndpointId id = EndpointId.of(vm.name());
                named.add(id);
                takeLine(id, vm, nowNanos, sink);
            }
        }
        for (EndpointRecord endpoint : MissingEndpoints.of(records.values(), named, nowNanos)) {
            endpoint.unlisted();
            note(NoteEvent.ENDPOINT_GONE, endpoint.id(), "list", sink);
            refresh(endpoint, nowNanos);
        }
        // Only with the whole list taken in is it known how many endpoints can be spared.
        ImmutableList.copyOf(records.values()).forEach(endpoint -> followPeers(endpoint, nowNanos, sink));
    }

    /** Takes in the nodes of the own failure domain that are alive, this one among them. */
    public void aliveNodes(ImmutableSet<NodeId> nowAlive, long nowNanos, ActionSink sink) {
        ImmutableSet<NodeId> withSelf =
                ImmutableSet.<NodeId>builder().addAll(nowAlive).add(self).build();
        if (withSelf.equals(alive)) {
            return;
        }
        ImmutableSet<NodeId> before = alive;
        alive = withSelf;
        Sets.difference(before, alive).forEach(node -> peers.forget(node, peerChanges(nowNanos, sink)));
        for (EndpointRecord endpoint : ImmutableList.copyOf(records.values())) {
            resize(endpoint);
            refresh(endpoint, nowNanos);
        }
    }

    /** Takes in what a peer reported of loads, leaving endpoints and quarantine. */
    public void peerReported(PeerReport report, long nowNanos, ActionSink sink) {
        if (!report.from().equals(self)) {
            peers.reported(report, nowNanos, peerChanges(nowNanos, sink));
        }
    }

    /** Takes an endpoint out at an operator's word, or puts it back; holds also if it is listed only later. */
    public void drain(EndpointId endpoint, boolean out, long nowNanos, ActionSink sink) {
        boolean changed = out ? drained.add(endpoint) : drained.remove(endpoint);
        EndpointRecord record = records.get(endpoint);
        if (record == null || !changed) {
            return;
        }
        record.drained(out);
        note(out ? NoteEvent.ENDPOINT_LEAVING : NoteEvent.ENDPOINT_READMITTED, endpoint, "operator", sink);
        refresh(record, nowNanos);
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
                .map(slots -> take(records.get(slots.endpoint()), nowNanos));
    }

    /**
     * Gives a reserved slot back and judges the endpoint by how the task ended.
     *
     * @param ended how the task ended
     * @param service the service whose task it was
     * @param kind the task's kind
     * @param runNanos the time from sending to the end
     */
    public void ended(
            TaskEnded ended, ServiceName service, KindName kind, long runNanos, long nowNanos, ActionSink sink) {
        EndpointRecord endpoint = records.get(ended.endpoint());
        if (endpoint == null) {
            return;
        }
        endpoint.slots().givenBack();
        pools.counted(service, endpoint, ended.result(), nowNanos);
        if (ended.endpointLeaving() || ended.result() == SendResult.REFUSED_DRAINING) {
            leaves(endpoint, "its own answer", nowNanos, sink);
        }
        if (ended.result().endpointAnswered()) {
            pools.reach(endpoint).answered();
        }
        switch (ended.result()) {
            case SUCCEEDED -> ran(endpoint, service, kind, false, nowNanos, sink);
            case TASK_FAILED, LOST -> ran(endpoint, service, kind, true, nowNanos, sink);
            case REFUSED_BUSY -> refusedBusy(endpoint, nowNanos);
            case CONNECT_FAILED -> unreachable(endpoint, nowNanos, sink);
            case REFUSED_DRAINING -> {}
            default -> throw new AssertionError(ended.result());
        }
        refresh(endpoint, nowNanos);
    }

    /**
     * Gives a reserved slot back without judging the endpoint, because this node let go of the task.
     *
     * <p>A stopped task ends as failed or lost through no fault of its endpoint; judged by it, a wave of cancels would
     * put healthy endpoints into quarantine.
     */
    public void endedAfterStop(TaskEnded ended, long nowNanos, ActionSink sink) {
        EndpointRecord endpoint = records.get(ended.endpoint());
        if (endpoint == null) {
            return;
        }
        endpoint.slots().givenBack();
        if (ended.endpointLeaving()) {
            leaves(endpoint, "its own answer", nowNanos, sink);
        }
        refresh(endpoint, nowNanos);
    }

    /** Takes in the end of a probe. */
    public void probeEnded(ProbeEnded ended, long nowNanos, ActionSink sink) {
        EndpointRecord endpoint = records.get(ended.endpoint());
        if (endpoint == null) {
            return;
        }
        endpoint.wakeNanos(EndpointRecord.NEVER);
        if (ended.leaving()) {
            leaves(endpoint, "its answer to a probe", nowNanos, sink);
        } else if (ended.healthy()) {
            answeredProbe(endpoint, nowNanos, sink);
        } else {
            unreachable(endpoint, nowNanos, sink);
        }
        refresh(endpoint, nowNanos);
    }

    /** Does what is due: probes, and the end of waits after a refusal. */
    public void timePassed(long nowNanos, ActionSink sink) {
        if (pools.riskAgainNanos() <= nowNanos) {
            pools.riskedAgain();
        }
        for (Optional<EndpointRecord> due = wakes.pollDue(nowNanos); due.isPresent(); due = wakes.pollDue(nowNanos)) {
            EndpointRecord endpoint = due.get();
            if (records.get(endpoint.id()) != endpoint) {
                continue;
            }
            if (endpoint.wakeNanos() <= nowNanos) {
                probe(endpoint, nowNanos, sink);
            }
            if (endpoint.fadesNanos() <= nowNanos) {
                endpoint.refusalFades(nowNanos);
                wakes.add(endpoint.fadesNanos(), endpoint);
            }
            refresh(endpoint, nowNanos);
        }
    }

    /** Returns when {@link #timePassed} is next worth calling; {@code Long.MAX_VALUE} for never. */
    public long nextWakeNanos() {
        return Math.min(wakes.nextNanos(), pools.riskAgainNanos());
    }

    /** Returns whether any endpoint of the service may get work, now or once a slot is free. */
    public boolean usable(ServiceName service) {
        return pools.openSlots(service) > 0;
    }

    /** Returns how many slots this node may count on for the service, for estimates of the wait. */
    public int slots(ServiceName service) {
        int open = pools.openSlots(service);
        return open == 0 ? 0 : Math.max(1, open / alive.size());
    }

    /** Returns how many slots all nodes of the failure domain may use together for the service. */
    public int slotsOfAllNodes(ServiceName service) {
        return pools.openSlots(service);
    }

    /** Returns how many tasks of this node are in flight at each endpoint, where that is not 0. */
    public ImmutableList<EndpointLoad> loads() {
        return records.values().stream()
                .filter(endpoint -> endpoint.slots().ownInFlight() > 0)
                .map(endpoint ->
                        new EndpointLoad(endpoint.id(), endpoint.slots().ownInFlight()))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the endpoints known to be leaving. */
    public ImmutableSet<EndpointId> leaving() {
        return idsWhere(EndpointRecord::isLeaving);
    }

    /**
     * Returns the endpoints in quarantine, or on trial after it, by this node's own judgement of how tasks ended.
     *
     * <p>Endpoints that this node cannot reach are not among them: another node may reach them well.
     */
    public ImmutableSet<EndpointId> quarantined() {
        return idsWhere(EndpointRecord::isUnderConviction);
    }

    /** Returns a line for each endpoint. */
    public ImmutableList<EndpointStatus> status() {
        return records.values().stream()
                .map(endpoint -> new EndpointStatus(
                        endpoint.id(),
                        endpoint.vm().domain(),
                        endpoint.vm().address(),
                        endpoint.vm().slots(),
                        endpoint.slots().ownInFlight(),
                        endpoint.condition().word(),
                        endpoint.why()))
                .collect(ImmutableList.toImmutableList());
    }

    private ImmutableSet<EndpointId> idsWhere(Predicate<EndpointRecord> condition) {
        return records.values().stream()
                .filter(condition)
                .map(EndpointRecord::id)
                .collect(ImmutableSet.toImmutableSet());
    }

    private void takeLine(EndpointId id, VmRecord vm, long nowNanos, ActionSink sink) {
        EndpointRecord endpoint = records.get(id);
        if (endpoint == null) {
            endpoint = new EndpointRecord(id, vm);
            endpoint.drained(drained.contains(id));
            endpoint.slots().peersChanged(peers.inFlight(id));
            endpoint.peersConvicting(peers.quarantining(id).size());
            records.put(id, endpoint);
            note(NoteEvent.ENDPOINT_APPEARED, id, "list", sink);
        } else if (vm.equals(endpoint.vm()) && endpoint.isListed()) {
            return;
        } else {
            pools.remove(endpoint);
            endpoint.listed(vm);
        }
        if (vm.state() == VmState.LEAVING) {
            leaves(endpoint, "list", nowNanos, sink);
        }
        resize(endpoint);
        refresh(endpoint, nowNanos);
    }

    private Endpoint take(EndpointRecord endpoint, long nowNanos) {
        endpoint.slots().taken();
        refresh(endpoint, nowNanos);
        return new Endpoint(endpoint.id(), endpoint.vm().address());
    }

    private void ran(
            EndpointRecord endpoint,
            ServiceName service,
            KindName kind,
            boolean failed,
            long nowNanos,
            ActionSink sink) {
        endpoint.slots().vacated();
        judge.add(endpoint, service, kind, failed);
        if (!failed && endpoint.succeeded(nowNanos)) {
            note(NoteEvent.ENDPOINT_READMITTED, endpoint.id(), endpoint.why(), sink);
        }
        boolean elsewhere = !pools.inOwnDomain(endpoint);
        boolean mayBeOut = endpoint.countsAsQuarantined() || pools.spareOne(endpoint);
        if (failed && endpoint.isConvictable(elsewhere) && mayBeOut) {
            endpoint.convict(elsewhere, nowNanos, "fails what others do not fail");
            note(NoteEvent.ENDPOINT_QUARANTINED, endpoint.id(), endpoint.why(), sink);
            schedule(endpoint, endpoint.convictedUntilNanos());
        }
    }

    private void refusedBusy(EndpointRecord endpoint, long nowNanos) {
        endpoint.busy(nowNanos);
        wakes.add(endpoint.fadesNanos(), endpoint);
    }

    private void unreachable(EndpointRecord endpoint, long nowNanos, ActionSink sink) {
        if (!endpoint.isUnreachable()) {
            pools.reach(endpoint).unreachable();
            note(NoteEvent.ENDPOINT_QUARANTINED, endpoint.id(), "unreachable", sink);
        } else if (endpoint.wakeNanos() != EndpointRecord.NEVER) {
            return;
        }
        long wait = endpoint.unreachable(nowNanos);
        schedule(endpoint, nowNanos + wait + random.nextLong(1 + wait / HealthPolicy.JITTER_PART));
    }

    private void leaves(EndpointRecord endpoint, String why, long nowNanos, ActionSink sink) {
        if (!endpoint.isLeaving()) {
            note(NoteEvent.ENDPOINT_LEAVING, endpoint.id(), why, sink);
        }
        endpoint.leaving(true, why);
        schedule(endpoint, nowNanos + HealthPolicy.LEAVING_PROBE_NANOS);
    }

    private void answeredProbe(EndpointRecord endpoint, long nowNanos, ActionSink sink) {
        pools.reach(endpoint).answered();
        boolean wasOut = endpoint.isLeaving() || endpoint.isUnreachable();
        if (endpoint.isLeaving()) {
            endpoint.leaving(false, "probe");
        }
        if (endpoint.isUnreachable()) {
            endpoint.reachable();
        }
        if (endpoint.isConvicted() && nowNanos >= endpoint.convictedUntilNanos()) {
            endpoint.startTrial();
        } else if (endpoint.isConvicted()) {
            schedule(endpoint, endpoint.convictedUntilNanos());
        } else if (wasOut) {
            note(NoteEvent.ENDPOINT_READMITTED, endpoint.id(), "probe", sink);
        }
    }

    private void probe(EndpointRecord endpoint, long nowNanos, ActionSink sink) {
        if (!endpoint.needsProbe()) {
            endpoint.wakeNanos(EndpointRecord.NEVER);
        } else if (endpoint.isConvicted() && isTriedByPeer(endpoint)) {
            schedule(endpoint, nowNanos + HealthPolicy.TRIAL_BY_PEER_NANOS);
        } else {
            sink.emit(new ProbeEndpoint(endpoint.id(), endpoint.vm().address()));
            schedule(endpoint, nowNanos + HealthPolicy.PROBE_TIMEOUT_NANOS);
        }
    }

    /** Returns whether a peer holds the same endpoint in quarantine and comes first, so that only one tries it. */
    private boolean isTriedByPeer(EndpointRecord endpoint) {
        ImmutableSet<NodeId> others = peers.quarantining(endpoint.id());
        return RendezvousHash.rank(self, others, endpoint.id().value()) > 0;
    }

    private PeerViews.Listener peerChanges(long nowNanos, ActionSink sink) {
        return new PeerViews.Listener() {
            @Override
            public void loadChanged(EndpointId id, int delta) {
                EndpointRecord endpoint = records.get(id);
                if (endpoint != null) {
                    endpoint.slots().peersChanged(delta);
                    refresh(endpoint, nowNanos);
                }
            }

            @Override
            public void leavingSaid(EndpointId id, NodeId peer) {
                EndpointRecord endpoint = records.get(id);
                if (endpoint != null) {
                    leaves(endpoint, "peer " + peer, nowNanos, sink);
                    refresh(endpoint, nowNanos);
                }
            }

            @Override
            public void quarantineChanged(EndpointId id, int delta) {
                EndpointRecord endpoint = records.get(id);
                if (endpoint != null) {
                    endpoint.peersConvicting(delta);
                    followPeers(endpoint, nowNanos, sink);
                }
            }
        };
    }

    /** Takes the peers' word that an endpoint is broken, before it has failed this node's tasks too. */
    private void followPeers(EndpointRecord endpoint, long nowNanos, ActionSink sink) {
        boolean out = endpoint.isConvictedByPeers();
        if (out == endpoint.isOutByPeers()) {
            return;
        }
        if (!out) {
            endpoint.outByPeers(false);
        } else if (pools.spareOne(endpoint)) {
            endpoint.outByPeers(true);
            note(NoteEvent.ENDPOINT_QUARANTINED, endpoint.id(), endpoint.why(), sink);
        } else {
            endpoint.suspect();
        }
        refresh(endpoint, nowNanos);
    }

    private void resize(EndpointRecord endpoint) {
        VmRecord vm = endpoint.vm();
        int rank = RendezvousHash.rank(self, alive, vm.name());
        int home = RendezvousHash.share(rank, alive.size(), vm.slots());
        endpoint.slots().resize(vm.slots(), pools.inOwnDomain(endpoint) ? home : 0);
    }

    /** Brings the pools in line with what changed of an endpoint, and forgets one that is unlisted and idle. */
    private void refresh(EndpointRecord endpoint, long nowNanos) {
        if (!endpoint.isListed() && endpoint.slots().ownInFlight() == 0) {
            pools.remove(endpoint);
            records.remove(endpoint.id());
            return;
        }
        pools.update(endpoint, nowNanos);
        if (endpoint.needsProbe() && endpoint.wakeNanos() == EndpointRecord.NEVER) {
            schedule(endpoint, nowNanos + HealthPolicy.LEAVING_PROBE_NANOS);
        }
    }

    private void schedule(EndpointRecord endpoint, long nanos) {
        endpoint.wakeNanos(nanos);
        wakes.add(nanos, endpoint);
    }

    private static void note(NoteEvent event, EndpointId endpoint, String why, ActionSink sink) {
        sink.emit(new Note(event, Step.SEND, endpoint.value(), ImmutableMap.of("why", why)));
    }
}
