package org.tarragonarch.core.node;

import java.util.Optional;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.AnswerProblem;
import org.tarragonarch.core.admission.AdmissionDecision;
import org.tarragonarch.core.admission.Admitted;
import org.tarragonarch.core.admission.Refused;
import org.tarragonarch.core.event.CancelCause;
import org.tarragonarch.core.event.CancelRequested;
import org.tarragonarch.core.event.SubmissionArrived;
import org.tarragonarch.core.event.TaskEnded;
import org.tarragonarch.core.submission.Submission;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.outcome.ProblemCode;

/** Handles the arrival and cancellation of submissions and the ends of their tasks. */
final class SubmissionHandler {
    private final NodeParts parts;

    SubmissionHandler(NodeParts parts) {
        this.parts = parts;
    }

    void register(EventHandlers handlers) {
        handlers.register(SubmissionArrived.class, this::arrived);
        handlers.register(TaskEnded.class, this::taskEnded);
        handlers.register(CancelRequested.class, this::cancel);
    }

    private void arrived(SubmissionArrived arrived, long nowNanos, ActionSink sink) {
        AdmissionDecision decision =
                parts.admission.decide(arrived, parts.lifecycle.phase(), parts.configuration.inForce(), nowNanos);
        if (decision instanceof Refused refused) {
            sink.emit(new AnswerProblem(arrived.id(), refused.problem()));
        } else if (decision instanceof Admitted admitted) {
            Submission submission = admitted.submission();
            parts.submissions.add(submission);
            if (submission.claimKey().isPresent()) {
                parts.keys.submissionArrived(submission, nowNanos, sink);
            } else {
                parts.dispatcher.dispatch(submission);
            }
        }
    }

    private void taskEnded(TaskEnded ended, long nowNanos, ActionSink sink) {
        parts.dispatcher.taskEnded(ended, nowNanos, sink);
        if (ended.endpointLeaving()) {
            // Peers must stop sending to it within seconds, even if the platform's list lags or is unavailable.
            parts.peers.reportNow(nowNanos, parts.reportSource, sink);
        }
    }

    private void cancel(CancelRequested cancel, long nowNanos, ActionSink sink) {
        Optional<Submission> found = parts.submissions.find(cancel.submission());
        if (found.isEmpty()) {
            return;
        }
        Submission submission = found.get();
        if (cancel.cause() == CancelCause.HANG_UP && continuesWithoutCaller(submission)) {
            return;
        }
        ProblemCode code = submission.stage().cancellationCode(submission.mayHaveRun());
        Problem problem = parts.dispatcher.problemFor(submission, code, "cancelled by " + cancel.cause());
        parts.dispatcher.end(submission, Optional.of(problem), nowNanos, sink);
    }

    // A caller that lost its connection can fetch the answer with the same idempotency key. So a keyed submission
    // continues if a task may have run or if other submissions wait for its answer.
    private boolean continuesWithoutCaller(Submission submission) {
        return submission.claimKey().isPresent() && (submission.mayHaveRun() || parts.keys.isAwaited(submission));
    }
}
