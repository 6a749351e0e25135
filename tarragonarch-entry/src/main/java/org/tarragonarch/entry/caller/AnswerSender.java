package org.tarragonarch.entry.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.jooby.Context;
import io.jooby.StatusCode;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.core.action.AnswerComplete;
import org.tarragonarch.core.action.AnswerFromPeer;
import org.tarragonarch.core.action.AnswerProblem;
import org.tarragonarch.core.action.AnswerSameAs;
import org.tarragonarch.core.action.ForgetAnswer;
import org.tarragonarch.entry.body.BodyStore;
import org.tarragonarch.entry.control.Readiness;
import org.tarragonarch.entry.http.Exchange;
import org.tarragonarch.entry.http.ProblemIds;
import org.tarragonarch.entry.http.ProblemJson;
import org.tarragonarch.entry.log.LogLine;
import org.tarragonarch.entry.metrics.NodeMetrics;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.outcome.Outcome;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.outcome.Step;

/**
 * Sends each caller its one complete answer.
 *
 * <p>Methods are called on the control thread; answers are built and sent on the event loops of their connections.
 */
public final class AnswerSender {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String NO_CODE = "none";

    private final PendingAnswers pending;
    private final Readiness readiness;
    private final BodyStore bodies;
    private final NodeMetrics metrics;

    AnswerSender(PendingAnswers pending, Readiness readiness, BodyStore bodies, NodeMetrics metrics) {
        this.pending = pending;
        this.readiness = readiness;
        this.bodies = bodies;
        this.metrics = metrics;
    }

    /** Sends the results of the submission's own tasks. */
    public void answerComplete(AnswerComplete action) {
        SubmissionId id = action.submission();
        Optional<PendingAnswer> waiting = pending.remove(id);
        waiting.ifPresent(caller -> sendComplete(id, caller, bodies.results(id)));
        if (waiting.map(PendingAnswer::keyed).orElse(false)) {
            bodies.removeInputs(id);
        } else {
            bodies.remove(id);
        }
    }

    /** Sends the results of another submission of this node. */
    public void answerSameAs(AnswerSameAs action) {
        answerAndRemove(action.submission(), bodies.results(action.original()));
    }

    /** Sends the results that a peer supplied. */
    public void answerFromPeer(AnswerFromPeer action) {
        answerAndRemove(action.submission(), bodies.results(action.submission()));
    }

    /** Sends a problem. */
    public void answerProblem(AnswerProblem action) {
        pending.remove(action.submission())
                .ifPresent(caller ->
                        runOnEventLoop(caller, () -> sendProblem(action.submission(), caller, action.problem())));
        bodies.remove(action.submission());
    }

    /** Removes the results that were stored for repeated requests with the same idempotency key. */
    public void forget(ForgetAnswer action) {
        bodies.remove(action.submission());
    }

    /** Refuses a message that was not handed to the core; called on the event loop of its connection. */
    void refuse(Context context, int status, Problem problem, ProblemIds ids) {
        writeProblem(context, status, problem, ids);
        countRefusal(problem);
    }

    private void answerAndRemove(SubmissionId id, Optional<ImmutableList<byte[]>> results) {
        pending.remove(id).ifPresent(caller -> sendComplete(id, caller, results));
        bodies.remove(id);
    }

    private void sendComplete(SubmissionId id, PendingAnswer caller, Optional<ImmutableList<byte[]>> results) {
        if (results.isEmpty()) {
            // The stored results were evicted for new submissions. As the tasks did run, the outcome of this
            // submission can only be reported as unknown.
            LOG.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "%s", LogLine.of("results-missing", Step.COLLECT, "shell").with("id", id));
            runOnEventLoop(caller, () -> sendProblem(id, caller, resultsMissing()));
            return;
        }
        runOnEventLoop(caller, () -> {
            Context context = caller.context();
            setHeaders(context, Outcome.COMPLETE, Optional.of(id.toString()), caller.requestId());
            context.setResponseType("application/json");
            context.send(CompleteJson.bytes(caller.form(), id, results.get()));
            metrics.recordAnswer(caller.form(), Outcome.COMPLETE.word(), NO_CODE, responseTime(caller));
        });
    }

    private void sendProblem(SubmissionId id, PendingAnswer caller, Problem problem) {
        writeProblem(
                caller.context(),
                problem.code().status(),
                problem,
                new ProblemIds(Optional.of(id.toString()), caller.requestId()));
        metrics.recordAnswer(
                caller.form(), problem.code().outcome().word(), problem.code().word(), responseTime(caller));
        LOG.atInfo()
                .per(problem.code())
                .atMostEvery(1, TimeUnit.SECONDS)
                .log(
                        "%s",
                        LogLine.of("problem-answered", problem.step(), problem.peer())
                                .with("id", id)
                                .with("request-id", caller.requestId().orElse(""))
                                .with("caller", caller.caller())
                                .with("outcome", problem.code().outcome().word())
                                .with("code", problem.code().word())
                                .with("detail", problem.detail()));
    }

    private void countRefusal(Problem problem) {
        metrics.countRefusal(problem.code().word());
        LOG.atInfo()
                .per(problem.code())
                .atMostEvery(1, TimeUnit.SECONDS)
                .log(
                        "%s",
                        LogLine.of("request-refused", problem.step(), problem.peer())
                                .with("code", problem.code().word())
                                .with("detail", problem.detail()));
    }

    private void writeProblem(Context context, int status, Problem problem, ProblemIds ids) {
        ObjectNode json = ProblemJson.of(status, problem, ids);
        setHeaders(context, problem.code().outcome(), ids.submission(), ids.request());
        problem.retryAfter()
                .ifPresent(wait -> context.setResponseHeader("Retry-After", ProblemJson.retryAfterSeconds(wait)));
        if (problem.code() == ProblemCode.UNAUTHENTICATED) {
            context.setResponseHeader("WWW-Authenticate", "Bearer");
        }
        context.setResponseCode(StatusCode.valueOf(status));
        context.setResponseType(ProblemJson.MEDIA_TYPE);
        context.send(ProblemJson.bytes(json));
    }

    private void setHeaders(Context context, Outcome outcome, Optional<String> submission, Optional<String> requestId) {
        context.setResponseHeader("Outcome", outcome.word());
        if (readiness.isLeaving()) {
            // Guards against a request that is lost when the node exits and cuts the connections still open.
            context.setResponseHeader("Connection", "close");
        }
        submission.ifPresent(id -> context.setResponseHeader("Submission-Id", id));
        requestId.ifPresent(text -> context.setResponseHeader("Request-Id", text));
    }

    private static Problem resultsMissing() {
        return Problem.of(
                ProblemCode.ANSWER_LOST,
                Step.COLLECT,
                "shell",
                "the tasks ran, but the node has evicted their results");
    }

    private static Duration responseTime(PendingAnswer caller) {
        return Duration.ofNanos(System.nanoTime() - caller.arrivedNanos());
    }

    private static void runOnEventLoop(PendingAnswer caller, Runnable answer) {
        try {
            Exchange.of(caller.context()).respond(answer);
        } catch (RejectedExecutionException e) {
            // The server has stopped and closed every connection.
            LOG.atInfo().log("%s", LogLine.of("answer-undeliverable", Step.LIFECYCLE, "caller"));
        }
    }
}
