package org.tarragonarch.core.endpoint;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.event.ProbeEnded;
import org.tarragonarch.core.event.TaskEnded;
import org.tarragonarch.core.status.EndpointStatus;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.model.platform.VmState;
import org.tarragonarch.model.report.EndpointLoad;
import org.tarragonarch.model.report.PeerReport;
import org.tarragonarch.model.service.Favour;

/**
 * Every endpoint that the node knows, with its load and health, and the choice among them.
 *
 * <p>Not safe for use by several threads.
 */
public final class EndpointDirectory {
    private final FailureDomain own;
    private final Map<EndpointId, Entry> entries = new LinkedHashMap<>();

    private EndpointDirectory(FailureDomain own) {
        this.own = own;
    }

    /**
     * Returns a directory that knows no endpoint.
     *
     * @param self the node that chooses
     * @param own the failure domain it stands in
     * @param random the source of every random choice, seeded by the node
     */
    public static EndpointDirectory create(NodeId self, FailureDomain own, Random random) {
        return new EndpointDirectory(own);
    }

    /** Takes in the platform's list. */
    public void listed(ImmutableList<VmRecord> vms, long nowNanos, ActionSink sink) {
        for (VmRecord vm : vms) {
            if (vm.role() == VmRole.ENDPOINT) {
                entries.computeIfAbsent(EndpointId.of(vm.name()), id -> new Entry()).vm = vm;
            }
        }
    }

    /** Takes in the nodes of the own failure domain that are alive, this one among them. */
    public void aliveNodes(ImmutableSet<NodeId> alive, long nowNanos, ActionSink sink) {}

    /** Takes in what a peer reported of loads, leaving endpoints and quarantine. */
    public void peerReported(PeerReport report, long nowNanos, ActionSink sink) {}

    /** Takes an endpoint out at an operator's word, or puts it back. */
    public void drain(EndpointId endpoint, boolean out, long nowNanos, ActionSink sink) {
        Entry entry = entries.get(endpoint);
        if (entry != null) {
            entry.drained = out;
        }
    }

    /**
     * Reserves a slot for one task.
     *
     * @param service the service whose task it is
     * @param favour the measure that the service favours
     * @param avoid endpoints that already failed this task
     * @return the endpoint, or nothing if none should get a task now
     */
    public Optional<Endpoint> reserve(ServiceName service, Favour favour, Set<EndpointId> avoid, long nowNanos) {
        Optional<Entry> least = entries.values().stream()
                .filter(entry -> entry.vm.services().contains(service)
                        && !entry.drained
                        && entry.vm.state() == VmState.LIVE
                        && entry.vm.domain().equals(own)
                        && entry.inFlight < entry.vm.slots()
                        && !avoid.contains(EndpointId.of(entry.vm.name())))
                .min(Comparator.comparingInt(entry -> entry.inFlight));
        least.ifPresent(entry -> entry.inFlight++);
        return least.map(entry -> new Endpoint(EndpointId.of(entry.vm.name()), entry.vm.address()));
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
        Entry entry = entries.get(ended.endpoint());
        if (entry != null) {
            entry.inFlight--;
        }
    }

    /** Takes in the end of a probe. */
    public void probeEnded(ProbeEnded ended, long nowNanos, ActionSink sink) {}

    /** Does what is due: probes, and the end of quarantines. */
    public void timePassed(long nowNanos, ActionSink sink) {}

    /** Returns when {@link #timePassed} is next worth calling; {@code Long.MAX_VALUE} for never. */
    public long nextWakeNanos() {
        return Long.MAX_VALUE;
    }

    /** Returns whether any endpoint of the service may get work, now or once a slot is free. */
    public boolean usable(ServiceName service) {
        return entries.values().stream()
                .anyMatch(entry -> entry.vm.services().contains(service) && entry.vm.state() == VmState.LIVE);
    }

    /** Returns how many slots this node may count on for the service, for estimates of the wait. */
    public int slots(ServiceName service) {
        return entries.values().stream()
                .filter(entry -> entry.vm.services().contains(service))
                .mapToInt(entry -> entry.vm.slots())
                .sum();
    }

    /** Returns how many tasks of this node are in flight at each endpoint, where that is not 0. */
    public ImmutableList<EndpointLoad> loads() {
        return entries.values().stream()
                .filter(entry -> entry.inFlight > 0)
                .map(entry -> new EndpointLoad(EndpointId.of(entry.vm.name()), entry.inFlight))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the endpoints known to be leaving. */
    public ImmutableSet<EndpointId> leaving() {
        return ImmutableSet.of();
    }

    /** Returns the endpoints in quarantine by this node's own judgement. */
    public ImmutableSet<EndpointId> quarantined() {
        return ImmutableSet.of();
    }

    /** Returns a line for each endpoint. */
    public ImmutableList<EndpointStatus> status() {
        return entries.values().stream()
                .map(entry -> new EndpointStatus(
                        EndpointId.of(entry.vm.name()),
                        entry.vm.domain(),
                        entry.vm.address(),
                        entry.vm.slots(),
                        entry.inFlight,
                        entry.vm.state().word(),
                        "list"))
                .collect(ImmutableList.toImmutableList());
    }

    private static final class Entry {
        private VmRecord vm;
        private int inFlight;
        private boolean drained;
    }
}
