package org.tarragonarch.core.node;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import com.google.common.primitives.Longs;
import java.util.Optional;
import java.util.Random;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.AnswerProblem;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.action.ReadVmList;
import org.tarragonarch.core.action.WakeAt;
import org.tarragonarch.core.admission.AdmissionControl;
import org.tarragonarch.core.admission.AdmissionDecision;
import org.tarragonarch.core.admission.Admitted;
import org.tarragonarch.core.admission.Refused;
import org.tarragonarch.core.claim.IdempotencyKeys;
import org.tarragonarch.core.configuration.ConfigurationReplica;
import org.tarragonarch.core.endpoint.EndpointDirectory;
import org.tarragonarch.core.event.CancelCause;
import org.tarragonarch.core.event.CancelRequested;
import org.tarragonarch.core.event.ClaimsRead;
import org.tarragonarch.core.event.ClaimsUncertain;
import org.tarragonarch.core.event.ClaimsWritten;
import org.tarragonarch.core.event.ConfigurationLoadFailed;
import org.tarragonarch.core.event.ConfigurationLoaded;
import org.tarragonarch.core.event.ConfigurationRowRead;
import org.tarragonarch.core.event.DrainRequested;
import org.tarragonarch.core.event.EndpointDrainRequested;
import org.tarragonarch.core.event.Event;
import org.tarragonarch.core.event.PeerAnswerArrived;
import org.tarragonarch.core.event.PeerAnswerAsked;
import org.tarragonarch.core.event.PeerReported;
import org.tarragonarch.core.event.PlatformFailed;
import org.tarragonarch.core.event.PlatformPart;
import org.tarragonarch.core.event.ProbeEnded;
import org.tarragonarch.core.event.SubmissionArrived;
import org.tarragonarch.core.event.TaskEnded;
import org.tarragonarch.core.event.TimePassed;
import org.tarragonarch.core.event.VmListRead;
import org.tarragonarch.core.lifecycle.Lifecycle;
import org.tarragonarch.core.membership.PeerDirectory;
import org.tarragonarch.core.membership.ReportSource;
import org.tarragonarch.core.quota.SharedLimits;
import org.tarragonarch.core.runtime.RunTimeEstimator;
import org.tarragonarch.core.status.NodeStatus;
import org.tarragonarch.core.status.QueueStatus;
import org.tarragonarch.core.status.QuotaStatus;
import org.tarragonarch.core.submission.Dispatcher;
import org.tarragonarch.core.submission.ServiceLanes;
import org.tarragonarch.core.submission.Submission;
import org.tarragonarch.core.submission.SubmissionTable;
import org.tarragonarch.core.submission.WaitEstimates;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.TeamName;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.model.report.EndpointLoad;
import org.tarragonarch.model.report.NodePhase;
import org.tarragonarch.model.report.PeerReport;
import org.tarragonarch.model.service.ServiceDefinition;
import org.tarragonarch.model.service.TeamDefinition;

/**
 * The decisions of one entry node: a deterministic state machine with one entry point.
 *
 * <p>Holds no clock, thread, lock or input and output of its own: time, seed and identity are handed in, so the same
 * events at the same times always give the same actions. Not safe for use by several threads.
 */
public final class EntryNode {
    private static final long LEAST_WAKE_NANOS = 1_000_000;

    private final NodeIdentity identity;
    private final NodePolicy policy;
    private final ConfigurationReplica configuration;
    private final EndpointDirectory endpoints;
    private final PeerDirectory peers;
    private final SharedLimits<TeamName> quotas;
    private final SharedLimits<ServiceName> services;
    private final SubmissionTable submissions = SubmissionTable.create();
    private final ServiceLanes lanes = ServiceLanes.create();
    private final IdempotencyKeys keys;
    private final Dispatcher dispatcher;
    private final AdmissionControl admission;
    private final Lifecycle lifecycle;
    private final ReportSource reportSource = new OwnReport();
    private ImmutableSet<NodeId> alive = ImmutableSet.of();
    private boolean vmListSeen;
    private long nextVmListNanos = Long.MIN_VALUE;
    private long wakeNanos = Long.MAX_VALUE;

    private EntryNode(NodeIdentity identity, NodePolicy policy, long seed) {
        this.identity = checkNotNull(identity, "identity");
        this.policy = checkNotNull(policy, "policy");
        Random random = new Random(seed);
        this.configuration = ConfigurationReplica.create(policy);
        this.endpoints = EndpointDirectory.create(identity.node(), identity.domain(), random, policy.placement());
        this.peers = PeerDirectory.create(identity, policy);
        this.quotas = SharedLimits.create(identity.node(), this::quotaOf);
        this.services = SharedLimits.create(identity.node(), this::limitOf);
        this.keys = IdempotencyKeys.create(identity, policy, random);
        RunTimeEstimator runTimes = RunTimeEstimator.create();
        WaitEstimates estimates = WaitEstimates.create(lanes, endpoints, quotas, services, runTimes);
        this.dispatcher = Dispatcher.create(submissions, lanes, estimates, endpoints, quotas, services, runTimes, keys);
        this.keys.connect(dispatcher);
        this.admission = AdmissionControl.create(lanes, estimates, endpoints);
        this.lifecycle = Lifecycle.create(policy);
    }

    /**
     * Returns a node that has just started.
     *
     * @param identity who the node is
     * @param policy the times and bounds it works by
     * @param seed the seed of its random choices
     */
    public static EntryNode create(NodeIdentity identity, NodePolicy policy, long seed) {
        return new EntryNode(identity, policy, seed);
    }

    /**
     * Decides upon one event.
     *
     * <p>The shell hands in {@code TimePassed} once at start and then whenever a {@code WakeAt} falls due.
     *
     * @param nowNanos the time on a clock that never runs backwards, in nanoseconds
     * @param event what happened
     * @param sink takes the actions, in order
     */
    public void handle(long nowNanos, Event event, ActionSink sink) {
        decide(event, nowNanos, sink);
        dispatcher.expire(nowNanos, sink);
        timePassed(nowNanos, sink);
        dispatcher.startWaiting(nowNanos, sink);
        leaveWhenDone(nowNanos, sink);
        wake(nowNanos, sink);
    }

    /** Returns a snapshot for the administration API; costs time in proportion to what it shows. */
    public NodeStatus status() {
        return new NodeStatus(
                identity.node(),
                identity.incarnation(),
                identity.domain(),
                lifecycle.phase(),
                configuration.version(),
                submissions.size(),
                endpoints.views().status(),
                peers.status(),
                queueStatus(),
                quotaStatus());
    }

    private void decide(Event event, long nowNanos, ActionSink sink) {
        if (event instanceof SubmissionArrived arrived) {
            arrived(arrived, nowNanos, sink);
        } else if (event instanceof TaskEnded ended) {
            taskEnded(ended, nowNanos, sink);
        } else if (event instanceof CancelRequested cancel) {
            cancel(cancel, nowNanos, sink);
        } else if (event instanceof PeerReported reported) {
            peerReported(reported.report(), nowNanos, sink);
        } else if (event instanceof TimePassed) {
            dispatcher.everythingChanged();
        } else if (event instanceof ProbeEnded ended) {
            endpoints.probeEnded(ended, nowNanos, sink);
            dispatcher.everythingChanged();
        } else if (event instanceof EndpointDrainRequested drain) {
            endpoints.drain(drain.endpoint(), drain.out(), nowNanos, sink);
            dispatcher.everythingChanged();
            peers.reportNow(nowNanos, reportSource, sink);
        } else if (event instanceof DrainRequested drain) {
            lifecycle.drain(drain.reason(), nowNanos, sink);
            peers.reportNow(nowNanos, reportSource, sink);
        } else {
            decideOnPlatform(event, nowNanos, sink);
        }
    }

    private void decideOnPlatform(Event event, long nowNanos, ActionSink sink) {
        if (event instanceof VmListRead read) {
            vmListRead(read, nowNanos, sink);
        } else if (event instanceof ConfigurationRowRead read) {
            configuration.rowRead(read.row(), nowNanos, sink);
        } else if (event instanceof ConfigurationLoaded loaded) {
            if (configuration.loaded(loaded, nowNanos, sink)) {
                configuration
                        .inForce()
                        .ifPresent(catalog -> endpoints.drainDomains(catalog.drainedDomains(), nowNanos, sink));
                equip(sink);
                dispatcher.everythingChanged();
                peers.reportNow(nowNanos, reportSource, sink);
            }
        } else if (event instanceof ConfigurationLoadFailed failed) {
            configuration.loadFailed(failed, nowNanos, sink);
        } else if (event instanceof PlatformFailed failed) {
            platformFailed(failed, nowNanos, sink);
        } else if (event instanceof ClaimsWritten written) {
            keys.settled(written.batch(), written.results(), nowNanos, sink);
        } else if (event instanceof ClaimsRead read) {
            keys.settled(read.batch(), read.results(), nowNanos, sink);
        } else if (event instanceof ClaimsUncertain uncertain) {
            keys.uncertain(uncertain.batch(), uncertain.mayHaveApplied(), nowNanos, sink);
        } else if (event instanceof PeerAnswerAsked asked) {
            keys.asked(asked, sink);
        } else if (event instanceof PeerAnswerArrived arrived) {
            submissions
                    .find(arrived.waiting())
                    .ifPresent(waiting -> keys.peerAnswered(waiting, arrived, nowNanos, sink));
        }
    }

    private void arrived(SubmissionArrived arrived, long nowNanos, ActionSink sink) {
        AdmissionDecision decision = admission.decide(arrived, lifecycle.phase(), configuration.inForce(), nowNanos);
        if (decision instanceof Refused refused) {
            sink.emit(new AnswerProblem(arrived.id(), refused.problem()));
        } else if (decision instanceof Admitted admitted) {
            Submission submission = admitted.submission();
            submissions.add(submission);
            if (submission.claimKey().isPresent()) {
                keys.arrived(submission, nowNanos, sink);
            } else {
                dispatcher.dispatch(submission);
            }
        }
    }

    private void taskEnded(TaskEnded ended, long nowNanos, ActionSink sink) {
        dispatcher.taskEnded(ended, nowNanos, sink);
        if (ended.endpointLeaving()) {
            // Peers must stop sending to it within seconds, also while the platform's list lags or is out.
            peers.reportNow(nowNanos, reportSource, sink);
        }
    }

    private void cancel(CancelRequested cancel, long nowNanos, ActionSink sink) {
        Optional<Submission> found = submissions.find(cancel.submission());
        if (found.isEmpty()) {
            return;
        }
        Submission submission = found.get();
        if (cancel.cause() == CancelCause.HANG_UP && runsOnWithoutCaller(submission)) {
            return;
        }
        ProblemCode code = submission.stage().cancelled(submission.mayHaveRun());
        Problem problem = dispatcher.giveUp(submission, code, "cancelled by " + cancel.cause());
        dispatcher.end(submission, Optional.of(problem), nowNanos, sink);
    }

    // A caller that lost its connection comes back with the same key for the answer. Work that may have run is worth
    // finishing for it, and so is work that others wait for.
    private boolean runsOnWithoutCaller(Submission submission) {
        return submission.claimKey().isPresent() && (submission.mayHaveRun() || keys.awaited(submission));
    }

    private void peerReported(PeerReport report, long nowNanos, ActionSink sink) {
        if (!peers.heard(report, nowNanos, sink)) {
            return;
        }
        endpoints.peerReported(report, nowNanos, sink);
        configuration.peerHas(report.from(), report.configuration(), nowNanos, sink);
        membershipChanged(nowNanos, sink);
        dispatcher.everythingChanged();
    }

    private void vmListRead(VmListRead read, long nowNanos, ActionSink sink) {
        vmListSeen = true;
        peers.listed(read.vms(), nowNanos, sink);
        endpoints.listed(read.vms(), nowNanos, sink);
        long nodes = read.vms().stream().filter(vm -> vm.role() == VmRole.ENTRY).count();
        keys.writers(Math.toIntExact(nodes));
        membershipChanged(nowNanos, sink);
        equip(sink);
        dispatcher.everythingChanged();
    }

    private void platformFailed(PlatformFailed failed, long nowNanos, ActionSink sink) {
        sink.emit(Note.of(
                NoteEvent.PLATFORM_READ_FAILED, Step.PLATFORM, failed.part().name(), "detail", failed.detail()));
        if (failed.part() == PlatformPart.CONFIGURATION_ROW) {
            configuration.rowFailed(nowNanos, sink);
        }
    }

    private void membershipChanged(long nowNanos, ActionSink sink) {
        ImmutableSet<NodeId> now = peers.aliveInDomain();
        if (!now.equals(alive)) {
            ImmutableSet<NodeId> before = alive;
            alive = now;
            endpoints.aliveNodes(now, nowNanos, sink);
            Sets.difference(before, now).forEach(gone -> keys.silent(gone, nowNanos, sink));
        }
        quotas.sharers(peers.sharers());
        services.sharers(peers.sharers());
    }

    private void equip(ActionSink sink) {
        if (vmListSeen && configuration.inForce().isPresent()) {
            lifecycle.equipped(sink);
        }
    }

    private void timePassed(long nowNanos, ActionSink sink) {
        if (nowNanos >= nextVmListNanos) {
            nextVmListNanos = nowNanos + policy.vmListInterval().toNanos();
            sink.emit(new ReadVmList());
        }
        configuration.timePassed(nowNanos, sink);
        peers.timePassed(nowNanos, reportSource, sink);
        membershipChanged(nowNanos, sink);
        if (endpoints.nextWakeNanos() <= nowNanos) {
            // Any event may be the one at which an endpoint's wait is over; tasks of every service may wait for it.
            dispatcher.everythingChanged();
        }
        endpoints.timePassed(nowNanos, sink);
        keys.timePassed(nowNanos, sink);
    }

    private void leaveWhenDone(long nowNanos, ActionSink sink) {
        if (lifecycle.mustCut(nowNanos) && submissions.size() > 0) {
            sink.emit(Note.of(NoteEvent.DRAIN_CUT_SHORT, Step.LIFECYCLE, "caller", "submissions", submissions.size()));
            for (Submission submission : submissions.all()) {
                ProblemCode code = submission.mayHaveRun() ? ProblemCode.SHUT_DOWN : ProblemCode.DRAINING;
                Problem problem = dispatcher.giveUp(submission, code, "the node stopped");
                dispatcher.end(submission, Optional.of(problem), nowNanos, sink);
            }
        }
        lifecycle.timePassed(submissions.size() == 0, nowNanos, sink);
    }

    /**
     * Asks to be woken when the next thing is due.
     *
     * <p>Guards against a part that names a time already past and goes on to name it: the same time would not be asked
     * for again, and every deadline would wait for whatever event comes next. So a past time counts as a moment from
     * now, which differs each time.
     */
    private void wake(long nowNanos, ActionSink sink) {
        long next = Longs.min(
                nextVmListNanos,
                configuration.nextWakeNanos(),
                peers.nextWakeNanos(),
                endpoints.nextWakeNanos(),
                keys.nextWakeNanos(),
                submissions.nextDeadlineNanos(),
                lifecycle.nextWakeNanos());
        long wake = next > nowNanos ? next : nowNanos + LEAST_WAKE_NANOS;
        if (wake != wakeNanos) {
            wakeNanos = wake;
            sink.emit(new WakeAt(wake));
        }
    }

    private int quotaOf(TeamName team) {
        return configuration
                .inForce()
                .flatMap(catalog -> catalog.team(team))
                .map(TeamDefinition::maxRunningTasks)
                .orElse(1);
    }

    private int limitOf(ServiceName service) {
        return configuration
                .inForce()
                .flatMap(catalog -> catalog.service(service))
                .map(ServiceDefinition::maxRunningTasks)
                .orElse(1);
    }

    private ImmutableList<QuotaStatus> quotaStatus() {
        return quotas.uses().stream()
                .map(use -> new QuotaStatus(use.key(), use.running(), use.share(), use.limit()))
                .collect(ImmutableList.toImmutableList());
    }

    private ImmutableList<QueueStatus> queueStatus() {
        return configuration
                .inForce()
                .map(catalog -> lanes.status(ImmutableSet.copyOf(catalog.teams().values())))
                .orElse(ImmutableList.of());
    }

    /** What this node reports to its peers. */
    private final class OwnReport implements ReportSource {
        @Override
        public NodePhase phase() {
            return lifecycle.phase();
        }

        @Override
        public ConfigurationVersion configuration() {
            return configuration.version();
        }

        @Override
        public ImmutableList<EndpointLoad> loads() {
            return endpoints.views().loads();
        }

        @Override
        public ImmutableSet<EndpointId> leaving() {
            return endpoints.views().leaving();
        }

        @Override
        public ImmutableSet<EndpointId> quarantined() {
            return endpoints.views().quarantined();
        }
    }
}
