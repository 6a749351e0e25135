package org.tarragonarch.entry.admin;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.StatusCode;
import java.time.Clock;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.tarragonarch.core.event.DrainRequested;
import org.tarragonarch.core.event.EndpointDrainRequested;
import org.tarragonarch.core.status.NodeStatus;
import org.tarragonarch.entry.catalog.CatalogInForce;
import org.tarragonarch.entry.catalog.ConfigurationTexts;
import org.tarragonarch.entry.control.ControlLoop;
import org.tarragonarch.entry.control.NodeCore;
import org.tarragonarch.entry.control.Readiness;
import org.tarragonarch.entry.http.Exchange;
import org.tarragonarch.entry.log.LogLine;
import org.tarragonarch.entry.metrics.NodeMetrics;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.Names;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.service.OperatorDefinition;
import org.tarragonarch.model.service.ServiceCatalog;
import org.tarragonarch.platform.ConfigurationStore;

/**
 * The HTTP API for operators, served on its own port.
 *
 * <p>Handlers run on the event loops and never block: the control thread supplies the status snapshots, and calls to
 * the platform run on a separate thread pool.
 */
public final class AdminApi implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String OPERATOR = "operator";
    private static final String PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8";
    private static final int MAX_THREADS = 2;
    private static final int MAX_QUEUED_CALLS = 32;
    private static final long SNAPSHOT_TIMEOUT_MILLIS = 1_000;

    private final ControlLoop control;
    private final CatalogInForce catalog;
    private final ConfigurationTexts texts;
    private final Readiness readiness;
    private final NodeMetrics metrics;
    private final OperatorCheck operators;
    private final ConfigurationChanges changes;
    private final ThreadPoolExecutor threads = new ThreadPoolExecutor(
            MAX_THREADS,
            MAX_THREADS,
            1,
            TimeUnit.MINUTES,
            new ArrayBlockingQueue<>(MAX_QUEUED_CALLS),
            new ThreadFactoryBuilder()
                    .setNameFormat("admin-call-%d")
                    .setDaemon(true)
                    .build());

    private AdminApi(
            ControlLoop control,
            CatalogInForce catalog,
            ConfigurationTexts texts,
            Readiness readiness,
            NodeMetrics metrics,
            ConfigurationStore store) {
        this.control = checkNotNull(control, "control");
        this.catalog = checkNotNull(catalog, "catalog");
        this.texts = checkNotNull(texts, "texts");
        this.readiness = checkNotNull(readiness, "readiness");
        this.metrics = checkNotNull(metrics, "metrics");
        this.operators = new OperatorCheck(catalog, metrics);
        this.changes = new ConfigurationChanges(store, Clock.systemUTC());
    }

    /** Creates the API of one node. */
    public static AdminApi create(
            ControlLoop control,
            CatalogInForce catalog,
            ConfigurationTexts texts,
            Readiness readiness,
            NodeMetrics metrics,
            ConfigurationStore store) {
        return new AdminApi(control, catalog, texts, readiness, metrics, store);
    }

    /** Returns the Jooby application with the routes of this API. */
    public Jooby application() {
        Jooby application = new Jooby();
        application.setExecutionMode(ExecutionMode.EVENT_LOOP);
        application.get(
                "/health/live",
                context -> AdminAnswers.send(context, StatusCode.OK, AdminAnswers.JSON, "{\"state\":\"live\"}"));
        application.get("/health/ready", this::serveReadiness);
        application.get("/metrics", this::scrape);
        application.get("/admin/status", context -> snapshot(context, StatusJson::status));
        application.get("/admin/endpoints", context -> snapshot(context, StatusJson::endpoints));
        application.get("/admin/nodes", context -> snapshot(context, StatusJson::nodes));
        application.get("/admin/queues", context -> snapshot(context, StatusJson::queues));
        application.get("/admin/quotas", context -> snapshot(context, StatusJson::quotas));
        application.get("/admin/configuration", this::configuration);
        application.post("/admin/configuration", this::acceptConfiguration);
        application.get("/admin/audit", this::audit);
        application.post("/admin/drain", this::drain);
        application.post("/admin/endpoints/{id}/drain", context -> drainEndpoint(context, true));
        application.delete("/admin/endpoints/{id}/drain", context -> drainEndpoint(context, false));
        application.error(this::handleError);
        return application;
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }

    private Context serveReadiness(Context context) {
        StatusCode status = readiness.isReady() ? StatusCode.OK : StatusCode.SERVICE_UNAVAILABLE;
        return AdminAnswers.send(
                context,
                status,
                AdminAnswers.JSON,
                "{\"phase\":\"" + readiness.phase().word() + "\"}");
    }

    private Context scrape(Context context) {
        askStatus()
                .whenCompleteAsync(
                        (status, failure) -> {
                            if (status != null) {
                                metrics.status().update(status);
                            }
                            String text = metrics.scrape();
                            AdminAnswers.respond(
                                    context, () -> AdminAnswers.send(context, StatusCode.OK, PROMETHEUS, text));
                        },
                        threads);
        return context;
    }

    private Context snapshot(Context context, Function<NodeStatus, ObjectNode> json) throws AdminException {
        operators.requireReader(context);
        askStatus()
                .whenComplete((status, failure) -> AdminAnswers.respond(context, () -> {
                    if (status == null) {
                        AdminAnswers.sendProblem(
                                context,
                                new AdminException(new AdminProblem(
                                        AdminProblem.UNAVAILABLE,
                                        "control-busy",
                                        Step.LIFECYCLE,
                                        "control",
                                        "the control thread did not answer in time")));
                    } else {
                        AdminAnswers.send(context, json.apply(status));
                    }
                }));
        return context;
    }

    private CompletableFuture<NodeStatus> askStatus() {
        return control.query(NodeCore::status).orTimeout(SNAPSHOT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private Context configuration(Context context) throws AdminException {
        operators.requireReader(context);
        Optional<ConfigurationVersion> wanted = ChangeParameters.version(context);
        ServiceCatalog now = catalog.catalog().orElseThrow();
        if (wanted.isPresent() && !wanted.get().equals(now.version())) {
            return runOnAdminThread(context, () -> changes.load(wanted.get()));
        }
        byte[] canonical = texts.find(now)
                .orElseThrow(() -> new AdminException(new AdminProblem(
                        AdminProblem.UNAVAILABLE,
                        "text-missing",
                        Step.CONFIGURE,
                        "node",
                        "this node no longer has the text of the configuration in force")));
        return AdminAnswers.send(context, ChangeJsonWriter.configuration(now.version(), now.digest(), canonical));
    }

    private Context acceptConfiguration(Context context) throws AdminException {
        OperatorDefinition operator = operators.requireChanger(context);
        byte[] canonical = Exchange.of(context).body();
        ChangeParameters parameters = ChangeParameters.of(context);
        return runOnAdminThread(
                context,
                () -> changes.accept(
                        operator.name(), parameters.from(), parameters.change(), parameters.summary(), canonical));
    }

    private Context audit(Context context) throws AdminException {
        operators.requireReader(context);
        int limit = ChangeParameters.limit(context);
        return runOnAdminThread(context, () -> changes.history(limit));
    }

    private Context drain(Context context) throws AdminException {
        OperatorDefinition operator = operators.requireChanger(context);
        LOG.atInfo().log(
                "%s", LogLine.of("drain-asked", Step.LIFECYCLE, operator.name().value()));
        control.post(new DrainRequested("operator " + operator.name()));
        return AdminAnswers.send(context, StatusCode.ACCEPTED, AdminAnswers.JSON, "{\"draining\":true}");
    }

    private Context drainEndpoint(Context context, boolean out) throws AdminException {
        OperatorDefinition operator = operators.requireChanger(context);
        String id = context.path("id").value();
        if (!Names.isWellFormed(id)) {
            throw new AdminException(new AdminProblem(
                    AdminProblem.NOT_FOUND, "unknown-endpoint", Step.LIFECYCLE, OPERATOR, "no such endpoint"));
        }
        EndpointId endpoint = EndpointId.of(id);
        LOG.atInfo().log(
                "%s",
                LogLine.of(
                                "endpoint-drain-asked",
                                Step.LIFECYCLE,
                                operator.name().value())
                        .with("endpoint", endpoint)
                        .with("out", out));
        control.query(core -> hasEndpoint(core.status(), endpoint))
                .whenComplete((known, failure) ->
                        AdminAnswers.respond(context, () -> answerEndpointDrain(context, endpoint, out, known)));
        return context;
    }

    private void answerEndpointDrain(Context context, EndpointId endpoint, boolean out, Boolean known) {
        if (!Boolean.TRUE.equals(known)) {
            AdminAnswers.sendProblem(
                    context,
                    new AdminException(new AdminProblem(
                            AdminProblem.NOT_FOUND,
                            "unknown-endpoint",
                            Step.LIFECYCLE,
                            OPERATOR,
                            "endpoint " + endpoint + " is unknown to this node")));
            return;
        }
        control.post(new EndpointDrainRequested(endpoint, out));
        AdminAnswers.send(
                context,
                StatusCode.ACCEPTED,
                AdminAnswers.JSON,
                "{\"endpoint\":\"" + endpoint + "\",\"out\":" + out + "}");
    }

    private static boolean hasEndpoint(NodeStatus status, EndpointId endpoint) {
        return status.endpoints().stream().anyMatch(row -> row.endpoint().equals(endpoint));
    }

    private Context runOnAdminThread(Context context, AdminCall call) throws AdminException {
        try {
            threads.execute(() -> callAndAnswer(context, call));
        } catch (RejectedExecutionException e) {
            throw new AdminException(new AdminProblem(
                    AdminProblem.UNAVAILABLE, "busy", Step.PLATFORM, "platform", "too many calls are queued"));
        }
        return context;
    }

    private void callAndAnswer(Context context, AdminCall call) {
        try {
            JsonNode json = call.call();
            AdminAnswers.respond(context, () -> AdminAnswers.send(context, json));
        } catch (AdminException e) {
            AdminAnswers.respond(context, () -> AdminAnswers.sendProblem(context, e));
        } catch (RuntimeException e) {
            AdminAnswers.respond(context, () -> AdminAnswers.sendFault(context, e));
        }
    }

    private void handleError(Context context, Throwable cause, StatusCode status) {
        if (cause instanceof AdminException refusal) {
            AdminAnswers.sendProblem(context, refusal);
        } else if (status.value() < StatusCode.SERVER_ERROR_CODE) {
            AdminAnswers.sendProblem(
                    context,
                    new AdminException(new AdminProblem(
                            status.value(), "no-such-resource", Step.READ, OPERATOR, "no such resource or method")));
        } else {
            AdminAnswers.sendFault(context, cause);
        }
    }

    private interface AdminCall {
        JsonNode call() throws AdminException;
    }
}
