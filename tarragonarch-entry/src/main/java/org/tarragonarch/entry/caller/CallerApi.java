package org.tarragonarch.entry.caller;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.FluentLogger;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.StatusCode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.core.event.CancelCause;
import org.tarragonarch.core.event.CancelRequested;
import org.tarragonarch.core.event.SubmissionArrived;
import org.tarragonarch.core.event.SubmissionForm;
import org.tarragonarch.core.node.NodeIdentity;
import org.tarragonarch.entry.body.BodyStore;
import org.tarragonarch.entry.body.SubmissionContent;
import org.tarragonarch.entry.catalog.CatalogInForce;
import org.tarragonarch.entry.control.EventSink;
import org.tarragonarch.entry.control.Readiness;
import org.tarragonarch.entry.http.BearerToken;
import org.tarragonarch.entry.http.Exchange;
import org.tarragonarch.entry.http.ProblemIds;
import org.tarragonarch.entry.log.LogLine;
import org.tarragonarch.entry.metrics.NodeMetrics;
import org.tarragonarch.model.id.CallerName;
import org.tarragonarch.model.id.ContentDigest;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.Names;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.outcome.Problem;
import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.service.CallerDefinition;

/**
 * The HTTP API for callers.
 *
 * <p>Handlers run on the event loops and never block. The API answers {@code not-run} on its own only to messages that
 * it does not hand to the core; the core decides the answer to every submission that it receives.
 */
public final class CallerApi {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int MAX_TASKS = 10_000;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final String CALLER = "caller";
    private static final String HANDED_IN = "handed-in";

    private final NodeIdentity identity;
    private final CatalogInForce catalog;
    private final Readiness readiness;
    private final BodyStore bodies;
    private final EventSink events;
    private final NodeMetrics metrics;
    private final PendingAnswers pending = new PendingAnswers();
    private final AnswerSender answers;
    private final SubmissionBodyReader reader = new SubmissionBodyReader(MAX_TASKS);
    private final Object arrivalLock = new Object();
    private long lastSequence;

    private CallerApi(
            NodeIdentity identity,
            CatalogInForce catalog,
            Readiness readiness,
            BodyStore bodies,
            EventSink events,
            NodeMetrics metrics) {
        this.identity = checkNotNull(identity, "identity");
        this.catalog = checkNotNull(catalog, "catalog");
        this.readiness = checkNotNull(readiness, "readiness");
        this.bodies = checkNotNull(bodies, "bodies");
        this.events = checkNotNull(events, "events");
        this.metrics = checkNotNull(metrics, "metrics");
        this.answers = new AnswerSender(pending, readiness, bodies, metrics);
    }

    /**
     * Returns the API of a node.
     *
     * @param identity the node, which is part of submission ids
     * @param catalog the callers and their tokens
     * @param readiness the source of the answers to readiness checks
     * @param bodies the store for inputs and results
     * @param events the receiver of submissions and cancellations
     * @param metrics the metrics of answers and refusals
     */
    public static CallerApi create(
            NodeIdentity identity,
            CatalogInForce catalog,
            Readiness readiness,
            BodyStore bodies,
            EventSink events,
            NodeMetrics metrics) {
        return new CallerApi(identity, catalog, readiness, bodies, events, metrics);
    }

    /** Returns the sender of the core's answers. */
    public AnswerSender answers() {
        return answers;
    }

    /** Returns the number of callers that wait for an answer. */
    public int waitingCallers() {
        return pending.size();
    }

    /** Returns a new application that serves this API. */
    public Jooby application() {
        Jooby application = new Jooby();
        application.setExecutionMode(ExecutionMode.EVENT_LOOP);
        application.post("/v1/services/{service}/requests/{kind}", context -> submit(context, SubmissionForm.REQUEST));
        application.post("/v1/services/{service}/jobs/{kind}", context -> submit(context, SubmissionForm.JOB));
        application.delete("/v1/submissions/{requestId}", this::cancel);
        application.get("/ready", this::ready);
        application.error(this::refuseUnrouted);
        return application;
    }

    private Context submit(Context context, SubmissionForm form) {
        Optional<String> requestId = Optional.empty();
        try {
            requestId = SubmissionHeaders.requestId(context);
            CallerDefinition caller = authenticate(context);
            SubmissionHeaders headers = SubmissionHeaders.of(context);
            byte[] raw = Exchange.of(context).body();
            SubmissionBody body = reader.read(form, raw);
            SubmissionContent content = new SubmissionContent(service(context), kind(context), body.inputs());
            handIn(context, form, caller, headers, content, body, raw);
        } catch (MalformedException e) {
            refuse(context, Problem.of(ProblemCode.MALFORMED, e.step(), e.peer(), e.getMessage()), requestId);
        } catch (RefusedException e) {
            refuse(context, e.problem(), requestId);
        }
        return context;
    }

    private void handIn(
            Context context,
            SubmissionForm form,
            CallerDefinition caller,
            SubmissionHeaders headers,
            SubmissionContent content,
            SubmissionBody body,
            byte[] raw)
            throws RefusedException {
        PendingAnswer waiting = new PendingAnswer(
                context, form, caller.name(), headers.requestId(), headers.key().isPresent(), System.nanoTime());
        SubmissionId id;
        ContentDigest digest = digest(form, content.kind(), raw);
        synchronized (arrivalLock) {
            // Ids must reach the core in ascending order, so an id is created and handed in under one lock.
            id = new SubmissionId(identity.node(), identity.incarnation(), ++lastSequence);
            if (!bodies.put(id, content)) {
                throw new RefusedException(Problem.of(
                                ProblemCode.QUEUE_FULL, Step.ADMIT, CALLER, "the node holds as many bodies as it may")
                        .withRetryAfter(RETRY_AFTER));
            }
            context.setAttribute(HANDED_IN, id);
            pending.add(id, waiting);
            events.post(new SubmissionArrived(
                    id,
                    form,
                    caller.name(),
                    content.service(),
                    content.kind(),
                    headers.key(),
                    digest,
                    body.shapes(),
                    headers.timeAllowed()));
        }
        Exchange.of(context).onHangUp(() -> events.post(new CancelRequested(id, CancelCause.HANG_UP)));
    }

    private Context cancel(Context context) {
        try {
            CallerName caller = authenticate(context).name();
            ImmutableSet<SubmissionId> found =
                    pending.findByRequestId(caller, context.path("requestId").value());
            found.forEach(id -> events.post(new CancelRequested(id, CancelCause.CALLER)));
            // This answer only shows whether a submission was found; the submission's own answer shows its outcome.
            context.setResponseCode(found.isEmpty() ? StatusCode.NOT_FOUND : StatusCode.ACCEPTED);
            context.setResponseType("application/json");
            context.send("{\"cancelling\":" + found.size() + "}");
        } catch (RefusedException e) {
            refuse(context, e.problem(), Optional.empty());
        }
        return context;
    }

    private Context ready(Context context) {
        context.setResponseCode(readiness.isReady() ? StatusCode.OK : StatusCode.SERVICE_UNAVAILABLE);
        context.setResponseType("application/json");
        return context.send("{\"phase\":\"" + readiness.phase().word() + "\"}");
    }

    private void refuseUnrouted(Context context, Throwable cause, StatusCode status) {
        if (status.value() < StatusCode.SERVER_ERROR_CODE) {
            Problem problem = Problem.of(ProblemCode.MALFORMED, Step.READ, CALLER, "no such resource or method");
            answers.refuse(context, status.value(), problem, ProblemIds.NONE);
            return;
        }
        LOG.atSevere().withCause(cause).log("%s", LogLine.of("handler-failed", Step.READ, CALLER));
        if (context.getAttribute(HANDED_IN) == null) {
            Problem problem = Problem.of(ProblemCode.MALFORMED, Step.READ, CALLER, "the request could not be read");
            answers.refuse(context, status.value(), problem, ProblemIds.NONE);
        }
        // Otherwise the core has the submission and answers it; the tasks may run, so "not-run" would be wrong here.
    }

    private CallerDefinition authenticate(Context context) throws RefusedException {
        if (catalog.catalog().isEmpty()) {
            throw new RefusedException(
                    Problem.of(ProblemCode.NOT_READY, Step.CONFIGURE, CALLER, "the node has no configuration yet")
                            .withRetryAfter(RETRY_AFTER));
        }
        Optional<CallerDefinition> caller = BearerToken.digest(context).flatMap(catalog::caller);
        if (caller.isEmpty()) {
            metrics.countAuthenticationFailure(CALLER);
            throw new RefusedException(Problem.of(
                    ProblemCode.UNAUTHENTICATED,
                    Step.AUTHENTICATE,
                    CALLER,
                    "the request has no bearer token of a known caller"));
        }
        return caller.get();
    }

    private void refuse(Context context, Problem problem, Optional<String> requestId) {
        answers.refuse(context, problem.code().status(), problem, new ProblemIds(Optional.empty(), requestId));
    }

    private static ServiceName service(Context context) throws RefusedException {
        String name = context.path("service").value();
        if (!Names.isWellFormed(name)) {
            throw new RefusedException(
                    Problem.of(ProblemCode.UNKNOWN_SERVICE, Step.ADMIT, CALLER, "no service has this name"));
        }
        return ServiceName.of(name);
    }

    private static KindName kind(Context context) throws RefusedException {
        String name = context.path("kind").value();
        if (!Names.isWellFormed(name)) {
            throw new RefusedException(
                    Problem.of(ProblemCode.UNKNOWN_KIND, Step.ADMIT, CALLER, "no kind has this name"));
        }
        return KindName.of(name);
    }

    private static ContentDigest digest(SubmissionForm form, KindName kind, byte[] raw) {
        Hasher hasher = Hashing.sha256().newHasher();
        hasher.putString(form.name(), StandardCharsets.UTF_8).putByte((byte) 0);
        hasher.putString(kind.value(), StandardCharsets.UTF_8).putByte((byte) 0);
        return new ContentDigest(hasher.putBytes(raw).hash().toString());
    }
}
