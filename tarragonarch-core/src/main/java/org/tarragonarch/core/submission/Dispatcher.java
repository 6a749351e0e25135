package org.tarragonarch.core.submission;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.tarragonarch.core.action.Action;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.AnswerComplete;
import org.tarragonarch.core.action.AnswerFromPeer;
import org.tarragonarch.core.action.AnswerProblem;
import org.tarragonarch.core.action.AnswerSameAs;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.core.action.SendTask;
import org.tarragonarch.core.endpoint.Endpoint;
import org.tarragonarch.core.endpoint.EndpointDirectory;
import org.tarragonarch.core.event.TaskEnded;
import org.tarragonarch.core.quota.SharedLimits;
import org.tarragonarch.core.runtime.RunTimeEstimator;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.id.TeamName;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.service.TeamDefinition;

/**
 * Starts queued tasks, processes their ends, and answers every submission exactly once.
 *
 * <p>Only this class decides when a task starts. It is also the only one that answers an admitted submission as
 * not-run, which it decides by the task states alone. Not safe for use by several threads.
 */
public final class Dispatcher {
    private final SubmissionTable submissions;
    private final EndpointDirectory endpoints;
    private final SubmissionEndListener endListener;
    private final ServiceLanes lanes;
    private final WaitEstimates estimates;
    private final InFlightTasks inFlightTasks;
    private final Set<ServiceName> changedServices = new LinkedHashSet<>();
    private final RetryBudget retryBudget = new RetryBudget();
    private final TaskFeedback feedback;

    private Dispatcher(
            SubmissionTable submissions,
            ServiceLanes lanes,
            WaitEstimates estimates,
            EndpointDirectory endpoints,
            SharedLimits<TeamName> quotas,
            SharedLimits<ServiceName> services,
            RunTimeEstimator runTimes,
            SubmissionEndListener endListener) {
        this.submissions = submissions;
        this.lanes = lanes;
        this.estimates = estimates;
        this.endpoints = endpoints;
        this.inFlightTasks = new InFlightTasks(lanes, quotas, services);
        this.feedback = new TaskFeedback(endpoints, runTimes, retryBudget);
        this.endListener = endListener;
    }

    /** Returns a dispatcher without queued tasks. */
    public static Dispatcher create(
            SubmissionTable submissions,
            ServiceLanes lanes,
            WaitEstimates estimates,
            EndpointDirectory endpoints,
            SharedLimits<TeamName> quotas,
            SharedLimits<ServiceName> services,
            RunTimeEstimator runTimes,
            SubmissionEndListener endListener) {
        return new Dispatcher(submissions, lanes, estimates, endpoints, quotas, services, runTimes, endListener);
    }

    /** Queues every task of a submission. */
    public void dispatch(Submission submission) {
        submission.stage(Stage.DISPATCHED);
        enqueue(submission, submission.tasks().size());
    }

    /** Lets {@link #startWaitingTasks} consider every service, because endpoints or shares may have changed. */
    public void markAllServicesChanged() {
        changedServices.addAll(lanes.services());
    }

    /**
     * Starts queued tasks of the changed services, as far as slots and quotas allow.
     *
     * <p>{@link #endExpired} must be called first with the same time. Otherwise a node that resumes after a pause would
     * start queued tasks whose deadline has passed, and nobody waits for their results.
     */
    public void startWaitingTasks(long nowNanos, ActionSink sink) {
        for (ServiceName service : ImmutableList.copyOf(changedServices)) {
            ServiceLane lane = lanes.of(service);
            while (startNext(lane, nowNanos, sink)) {
                // Each call starts one task, or ends a submission that would miss its deadline.
            }
        }
        changedServices.clear();
    }

    /** Processes the end of a sent task. */
    public void taskEnded(TaskEnded ended, long nowNanos, ActionSink sink) {
        Optional<InFlightTask> sent = inFlightTasks.remove(ended);
        if (sent.isEmpty()) {
            // A repeated or late end must not change the task: a newer attempt may be in flight or have ended.
            sink.emit(Note.of(
                    NoteEvent.LATE_ANSWER_DROPPED,
                    Step.COLLECT,
                    ended.endpoint().value(),
                    "task",
                    ended.task()));
            return;
        }
        feedback.taskEnded(sent.get(), ended, nowNanos, sink);
        // Free capacity in a team's share may let tasks of another service start too.
        markAllServicesChanged();
        submissions
                .find(ended.task().submission())
                .ifPresent(submission -> applyResult(submission, ended, nowNanos, sink));
    }

    /**
     * Answers a submission, drops its queued tasks and stops its started ones; does nothing if it was answered before.
     *
     * @param problem why there are no results; empty if every task succeeded
     */
    public void end(Submission submission, Optional<Problem> problem, long nowNanos, ActionSink sink) {
        Action answer = problem.<Action>map(why -> new AnswerProblem(submission.id(), why))
                .orElseGet(() -> new AnswerComplete(submission.id()));
        close(submission, answer, problem, nowNanos, sink);
    }

    /** Answers a submission with the complete results of this node's {@code original} submission of the same key. */
    public void endWithAnswerOf(Submission submission, SubmissionId original, long nowNanos, ActionSink sink) {
        close(submission, new AnswerSameAs(submission.id(), original), Optional.empty(), nowNanos, sink);
    }

    /** Answers a submission with the complete results received from the node that holds the claim on its key. */
    public void endWithPeerAnswer(Submission submission, long nowNanos, ActionSink sink) {
        close(submission, new AnswerFromPeer(submission.id()), Optional.empty(), nowNanos, sink);
    }

    /** Ends every submission whose deadline has passed. */
    public void endExpired(long nowNanos, ActionSink sink) {
        Optional<Submission> expired = submissions.firstExpired(nowNanos);
        while (expired.isPresent()) {
            Submission submission = expired.get();
            ProblemCode code = submission.stage().expiryCode(submission.mayHaveRun());
            end(submission, Optional.of(problemFor(submission, code, "the deadline passed")), nowNanos, sink);
            expired = submissions.firstExpired(nowNanos);
        }
    }

    /** Returns the problem to end a submission with, including a retry-after time if a retry may succeed. */
    public Problem problemFor(Submission submission, ProblemCode code, String detail) {
        Step step = submission.mayHaveRun() ? Step.RUN : submission.stage().step();
        Problem problem = Problem.of(code, step, peerName(submission), detail);
        if (!code.isRetryable()) {
            return problem;
        }
        return problem.withRetryAfter(estimates.retryAfter(submission.service().name(), submission.team()));
    }

    private void close(
            Submission submission, Action answer, Optional<Problem> problem, long nowNanos, ActionSink sink) {
        if (!submissions.remove(submission)) {
            return;
        }
        lanes.of(submission.service().name()).queue().remove(submission.id());
        submission.tasks().forEach(task -> dropOrStop(submission, task, sink));
        changedServices.add(submission.service().name());
        sink.emit(answer);
        endListener.submissionEnded(submission, problem, nowNanos, sink);
    }

    private void enqueue(Submission submission, int tasks) {
        ServiceName service = submission.service().name();
        TeamDefinition team = submission.team();
        lanes.of(service)
                .queue()
                .add(submission.id(), team.name(), team.weight(), tasks, estimates.expectedNanos(submission));
        changedServices.add(service);
    }

    private boolean startNext(ServiceLane lane, long nowNanos, ActionSink sink) {
        Optional<SubmissionId> next = lane.queue().next(team -> inFlightTasks.mayStart(team));
        if (next.isEmpty()) {
            return false;
        }
        Submission submission = submissions.find(next.get()).orElseThrow();
        if (!inFlightTasks.mayStart(submission.service().name())) {
            return false;
        }
        if (estimates.cannotMeetDeadline(submission, nowNanos) && !submission.mayHaveRun()) {
            Problem problem = problemFor(
                    submission, ProblemCode.WOULD_MISS_DEADLINE, "its tasks can no longer all run before the deadline");
            end(submission, Optional.of(problem), nowNanos, sink);
            return true;
        }
        Task task = submission.nextQueuedTask().orElseThrow();
        Optional<Endpoint> endpoint = reserveEndpoint(submission, task, nowNanos);
        endpoint.ifPresent(reserved -> send(submission, task, reserved, nowNanos, sink));
        return endpoint.isPresent();
    }

    // Endpoints that refused or lost the task are used only if no other endpoint can be reserved.
    private Optional<Endpoint> reserveEndpoint(Submission submission, Task task, long nowNanos) {
        ServiceName service = submission.service().name();
        Optional<Endpoint> fresh =
                endpoints.reserve(service, submission.service().favours(), task.avoidedEndpoints(), nowNanos);
        if (fresh.isPresent() || task.avoidedEndpoints().isEmpty()) {
            return fresh;
        }
        return endpoints.reserve(service, submission.service().favours(), Set.of(), nowNanos);
    }

    private void send(Submission submission, Task task, Endpoint endpoint, long nowNanos, ActionSink sink) {
        task.markSent();
        lanes.of(submission.service().name()).queue().taskStarted(submission.id());
        inFlightTasks.add(submission, task, endpoint, nowNanos);
        Duration allowed = Duration.ofNanos(submission.deadlineNanos() - nowNanos);
        sink.emit(new SendTask(task.id(), task.attempt(), endpoint.id(), endpoint.address(), allowed));
    }

    private void applyResult(Submission submission, TaskEnded ended, long nowNanos, ActionSink sink) {
        Task task = submission.task(ended.task().index());
        switch (ended.result()) {
            case SUCCEEDED -> {
                task.end(TaskState.SUCCEEDED);
                if (submission.allTasksSucceeded()) {
                    end(submission, Optional.empty(), nowNanos, sink);
                }
            }
            case TASK_FAILED -> {
                task.end(TaskState.FAILED);
                end(submission, Optional.of(taskProblem(ProblemCode.TASK_FAILED, Step.RUN, ended)), nowNanos, sink);
            }
            case REFUSED_BUSY, REFUSED_DRAINING, CONNECT_FAILED -> {
                String refusal = ended.result().name();
                sink.emit(Note.of(
                        NoteEvent.SEND_REFUSED, Step.SEND, ended.endpoint().value(), "refusal", refusal));
                task.requeue(ended.endpoint());
                enqueue(submission, 1);
            }
            case LOST -> retryOrEnd(submission, task, ended, nowNanos, sink);
            default -> throw new AssertionError(ended.result());
        }
    }

    private void retryOrEnd(Submission submission, Task task, TaskEnded ended, long nowNanos, ActionSink sink) {
        boolean mayRetry =
                submission.arrived().form().mayRetry(submission.kind().idempotent());
        if (mayRetry && nowNanos < submission.deadlineNanos()) {
            if (retryBudget.trySpend()) {
                sink.emit(Note.of(
                        NoteEvent.TASK_RETRIED, Step.SEND, ended.endpoint().value(), "task", task.id()));
                task.requeueAfterLoss(ended.endpoint());
                enqueue(submission, 1);
                return;
            }
            sink.emit(Note.of(
                    NoteEvent.RETRY_BUDGET_EMPTY, Step.SEND, ended.endpoint().value()));
        }
        task.end(TaskState.LOST);
        ProblemCode code =
                nowNanos < submission.deadlineNanos() ? ProblemCode.ANSWER_LOST : ProblemCode.DEADLINE_PASSED;
        end(submission, Optional.of(taskProblem(code, Step.COLLECT, ended)), nowNanos, sink);
    }

    private static Problem taskProblem(ProblemCode code, Step step, TaskEnded ended) {
        return Problem.of(code, step, ended.endpoint().value(), ended.detail()).withTask(ended.task());
    }

    private String peerName(Submission submission) {
        return inFlightTasks
                .endpointOf(submission)
                .map(endpoint -> endpoint.id().value())
                .orElse("caller");
    }

    private void dropOrStop(Submission submission, Task task, ActionSink sink) {
        if (task.state() == TaskState.QUEUED) {
            task.end(TaskState.DROPPED);
        } else if (task.state() == TaskState.SENT) {
            inFlightTasks.stop(submission, task, sink);
        }
    }
}
