package org.tarragonarch.core.endpoint;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import org.tarragonarch.core.action.Action;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.action.ProbeEndpoint;
import org.tarragonarch.core.event.ProbeEnded;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.core.event.TaskEnded;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.Incarnation;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.id.TaskId;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.model.platform.VmState;
import org.tarragonarch.model.report.EndpointLoad;
import org.tarragonarch.model.report.NodePhase;
import org.tarragonarch.model.report.PeerReport;
import org.tarragonarch.model.service.ServiceObjective;

/** A directory of node {@code hobart-1} on virtual time, with short methods that hand events to it. */
final class DirectoryFixture {
    static final ServiceName SERVICE = ServiceName.of("proof-board");
    static final KindName KIND = KindName.of("spelling");
    static final NodeId SELF = NodeId.of("hobart-1");
    static final NodeId PEER = NodeId.of("hobart-2");
    static final FailureDomain HOBART = FailureDomain.of("hobart");
    static final FailureDomain LAUNCESTON = FailureDomain.of("launceston");
    private static final TaskId TASK = new TaskId(new SubmissionId(SELF, Incarnation.of(1), 1), 0);

    final EndpointDirectory directory = EndpointDirectory.create(SELF, HOBART, new Random(7));
    final List<Action> actions = new ArrayList<>();
    long nowNanos = Duration.ofSeconds(1000).toNanos();
    private long reportSequence;

    static EndpointId endpoint(int number) {
        return EndpointId.of("worker-" + number);
    }

    static VmRecord vm(int number, FailureDomain domain, VmState state, int slots) {
        Address address = new Address("127.0.0.1", 9000 + number);
        ImmutableSet<ServiceName> services = ImmutableSet.of(SERVICE);
        return new VmRecord("worker-" + number, VmRole.ENDPOINT, domain, address, state, services, slots);
    }

    static ImmutableList<VmRecord> vms(int from, int to, FailureDomain domain) {
        ImmutableList.Builder<VmRecord> vms = ImmutableList.builder();
        for (int number = from; number <= to; number++) {
            vms.add(vm(number, domain, VmState.LIVE, 8));
        }
        return vms.build();
    }

    void readVmList(ImmutableList<VmRecord> vms) {
        directory.vmListRead(vms, nowNanos, actions::add);
    }

    /** Advances the time, calling {@code timePassed} at each wake time of the directory. */
    void advance(Duration time) {
        long end = nowNanos + time.toNanos();
        while (directory.nextWakeNanos() <= end) {
            nowNanos = Math.max(nowNanos, directory.nextWakeNanos());
            directory.timePassed(nowNanos, actions::add);
        }
        nowNanos = end;
    }

    Optional<EndpointId> reserve(ServiceObjective objective, EndpointId... avoid) {
        return directory.reserve(SERVICE, objective, Set.of(avoid), nowNanos).map(Endpoint::id);
    }

    Optional<EndpointId> reserve() {
        return reserve(ServiceObjective.RESPONSE_TIME);
    }

    void endTask(EndpointId endpoint, SendResult result, KindName kind) {
        TaskEnded ended = new TaskEnded(TASK, 1, endpoint, result, false, "test");
        directory.taskEnded(ended, SERVICE, kind, Duration.ofMillis(1).toNanos(), nowNanos, actions::add);
    }

    void endTask(EndpointId endpoint, SendResult result) {
        endTask(endpoint, result, KIND);
    }

    void endTaskAsLeaving(EndpointId endpoint) {
        TaskEnded ended = new TaskEnded(TASK, 1, endpoint, SendResult.SUCCEEDED, true, "test");
        directory.taskEnded(ended, SERVICE, KIND, Duration.ofMillis(1).toNanos(), nowNanos, actions::add);
    }

    void endProbe(EndpointId endpoint, boolean healthy, boolean leaving) {
        directory.probeEnded(new ProbeEnded(endpoint, healthy, leaving), nowNanos, actions::add);
    }

    void report(
            NodeId peer,
            ImmutableList<EndpointLoad> loads,
            ImmutableSet<EndpointId> leaving,
            ImmutableSet<EndpointId> quarantined) {
        PeerReport report = new PeerReport(
                peer,
                Incarnation.of(1),
                reportSequence++,
                HOBART,
                NodePhase.SERVING,
                ConfigurationVersion.of(1),
                loads,
                true,
                leaving,
                quarantined);
        directory.peerReported(report, nowNanos, actions::add);
    }

    /** Reserves a slot for each task, ends the task with the result for its endpoint, and returns the endpoints. */
    List<EndpointId> runTasks(int tasks, KindName kind, Function<EndpointId, SendResult> result) {
        List<EndpointId> used = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            nowNanos += Duration.ofMillis(2).toNanos();
            reserve().ifPresent(endpoint -> {
                used.add(endpoint);
                endTask(endpoint, result.apply(endpoint), kind);
            });
        }
        return used;
    }

    /** Reserves slots, one each millisecond, until none is available, and returns their endpoints. */
    List<EndpointId> reserveAll(ServiceObjective objective) {
        List<EndpointId> used = new ArrayList<>();
        for (Optional<EndpointId> next = reserve(objective); next.isPresent(); next = reserve(objective)) {
            used.add(next.get());
            advance(Duration.ofMillis(1));
        }
        return used;
    }

    long probeCount() {
        return actions.stream().filter(ProbeEndpoint.class::isInstance).count();
    }

    long noteCount(NoteEvent event) {
        return actions.stream()
                .filter(action -> action instanceof Note note && note.event() == event)
                .count();
    }

    String health(EndpointId endpoint) {
        return directory.views().status().stream()
                .filter(line -> line.endpoint().equals(endpoint))
                .map(line -> line.health())
                .findFirst()
                .orElse("unknown");
    }
}
