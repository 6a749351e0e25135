package org.tarragonarch.core.admission;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.math.LongMath;
import java.math.RoundingMode;
import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.core.endpoint.EndpointDirectory;
import org.tarragonarch.core.event.SubmissionArrived;
import org.tarragonarch.core.event.TaskShape;
import org.tarragonarch.core.queue.JobQueue;
import org.tarragonarch.core.submission.RetryAfterBounds;
import org.tarragonarch.core.submission.ServiceLanes;
import org.tarragonarch.core.submission.Submission;
import org.tarragonarch.core.submission.WaitEstimates;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.report.NodePhase;
import org.tarragonarch.model.service.CallerDefinition;
import org.tarragonarch.model.service.KindDefinition;
import org.tarragonarch.model.service.ServiceCatalog;
import org.tarragonarch.model.service.ServiceDefinition;
import org.tarragonarch.model.service.TeamDefinition;

/**
 * Decides on arrival whether a submission is admitted, so that one that can never run, or not in time, is refused at
 * once.
 *
 * <p>Not thread-safe. A decision takes time linear in the number of the submission's tasks.
 */
public final class AdmissionControl {
    private static final String CALLER = "caller";

    private final ServiceLanes lanes;
    private final WaitEstimates estimates;
    private final EndpointDirectory endpoints;

    private AdmissionControl(ServiceLanes lanes, WaitEstimates estimates, EndpointDirectory endpoints) {
        this.lanes = checkNotNull(lanes, "lanes");
        this.estimates = checkNotNull(estimates, "estimates");
        this.endpoints = checkNotNull(endpoints, "endpoints");
    }

    /** Returns an admission control that decides by the given queues, estimates and endpoints. */
    public static AdmissionControl create(ServiceLanes lanes, WaitEstimates estimates, EndpointDirectory endpoints) {
        return new AdmissionControl(lanes, estimates, endpoints);
    }

    /** Returns the decision on one submission. */
    public AdmissionDecision decide(
            SubmissionArrived arrived, NodePhase phase, Optional<ServiceCatalog> inForce, long nowNanos) {
        if (inForce.isEmpty()) {
            return refuseForNow(ProblemCode.NOT_READY, "this node has no configuration yet");
        }
        if (!phase.takesWork()) {
            ProblemCode code = phase == NodePhase.STARTING ? ProblemCode.NOT_READY : ProblemCode.DRAINING;
            return refuseForNow(code, "this node is " + phase.word());
        }
        ServiceCatalog catalog = inForce.get();
        Optional<ServiceDefinition> service = catalog.service(arrived.service());
        if (service.isEmpty()) {
            return refuse(ProblemCode.UNKNOWN_SERVICE, "there is no service " + arrived.service());
        }
        Optional<CallerDefinition> caller = catalog.caller(arrived.caller())
                .filter(known -> service.get().callers().contains(known.name()));
        if (caller.isEmpty()) {
            return refuse(ProblemCode.FORBIDDEN, arrived.caller() + " may not call " + arrived.service());
        }
        Optional<KindDefinition> kind = service.get().kind(arrived.kind());
        if (kind.isEmpty()) {
            return refuse(ProblemCode.UNKNOWN_KIND, arrived.service() + " accepts no kind " + arrived.kind());
        }
        TeamDefinition team = catalog.team(caller.get().team()).orElseThrow();
        Submission submission = Submission.create(arrived, service.get(), kind.get(), team, nowNanos);
        return checkLimits(submission).<AdmissionDecision>map(Refused::new).orElseGet(() -> checkLoad(submission));
    }

    private Optional<Problem> checkLimits(Submission submission) {
        KindDefinition kind = submission.kind();
        int tasks = submission.arrived().tasks().size();
        if (tasks > kind.maxTasks()) {
            return overLimit(tasks + " tasks are over max-tasks " + kind.maxTasks() + " of kind " + kind.name());
        }
        int queueBound = submission.service().maxQueuedTasks();
        if (tasks > queueBound) {
            return overLimit(tasks + " tasks are over max-queued-tasks " + queueBound + " and could never wait");
        }
        for (TaskShape task : submission.arrived().tasks()) {
            if (task.bodyBytes() > kind.maxBodyBytes()) {
                return overLimit("a task of " + task.bodyBytes() + " bytes is over max-body-bytes "
                        + kind.maxBodyBytes() + " of kind " + kind.name());
            }
        }
        return Optional.empty();
    }

    private static Optional<Problem> overLimit(String detail) {
        return Optional.of(Problem.of(ProblemCode.OVER_LIMIT, Step.ADMIT, CALLER, detail));
    }

    private AdmissionDecision checkLoad(Submission submission) {
        ServiceName service = submission.service().name();
        if (!endpoints.hasUsableEndpoint(service)) {
            return refuseForNow(ProblemCode.NO_ENDPOINT, "no endpoint of " + service + " can be reached");
        }
        if (estimates.limitFor(service, submission.team()) == 0) {
            return refuseUntilDrained(
                    submission,
                    ProblemCode.OVER_QUOTA,
                    "the limits of " + submission.team().name() + " and " + service
                            + " give this node no share; another node may have one");
        }
        if (isQueueFull(submission)) {
            return refuseUntilDrained(submission, ProblemCode.QUEUE_FULL, "the queue of " + service + " is full");
        }
        if (estimates.cannotMeetDeadline(submission, submission.arrivedNanos()) || wouldMissDeadline(submission)) {
            return refuseUntilDrained(
                    submission, ProblemCode.WOULD_MISS_DEADLINE, "the wait for slots would pass the deadline");
        }
        return new Admitted(submission);
    }

    // A team that fills the queue must not lock out the others: beyond the bound, each team may still queue up to its
    // fair share. The queue stays below twice the bound, since no team's share exceeds the bound.
    private boolean isQueueFull(Submission submission) {
        JobQueue<SubmissionId> queue = lanes.of(submission.service().name()).queue();
        TeamDefinition team = submission.team();
        int bound = submission.service().maxQueuedTasks();
        int tasks = submission.arrived().tasks().size();
        boolean exceedsBound = queue.queuedTasks() + tasks > bound;
        return exceedsBound
                && queue.queuedTasks(team.name()) + tasks > queue.fairShare(team.name(), team.weight(), bound);
    }

    // Estimates are unreliable until runs were recorded; with an empty queue the submission is admitted, so that they
    // are.
    private boolean wouldMissDeadline(Submission submission) {
        ServiceName service = submission.service().name();
        Duration wait = estimates.expectedWait(submission);
        if (wait.isZero()) {
            return false;
        }
        int slots = estimates.slotsFor(service, submission.team());
        long rounds = LongMath.divide(submission.arrived().tasks().size(), slots, RoundingMode.CEILING);
        long runNanos = estimates.expectedNanos(submission);
        long needed = wait.toNanos() + rounds * runNanos;
        return needed > submission.deadlineNanos() - submission.arrivedNanos();
    }

    private Refused refuseUntilDrained(Submission submission, ProblemCode code, String detail) {
        Duration wait = estimates.retryAfter(submission.service().name(), submission.team());
        return new Refused(Problem.of(code, Step.ADMIT, CALLER, detail).withRetryAfter(wait));
    }

    private static Refused refuseForNow(ProblemCode code, String detail) {
        return new Refused(Problem.of(code, Step.ADMIT, CALLER, detail)
                .withRetryAfter(RetryAfterBounds.clamp(Duration.ofSeconds(1))));
    }

    private static Refused refuse(ProblemCode code, String detail) {
        return new Refused(Problem.of(code, Step.ADMIT, CALLER, detail));
    }
}
