package org.tarragonarch.standin.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.platform.VmRecord;
import org.tarragonarch.model.platform.VmRole;
import org.tarragonarch.model.platform.VmState;
import org.tarragonarch.standin.http.HttpExchange;
import org.tarragonarch.standin.http.HttpReply;
import org.tarragonarch.standin.http.HttpServer;

/**
 * An endpoint that implements docs/ENDPOINT-PROTOCOL.md, runs small tasks and fails on demand.
 *
 * <p>Safe for use by multiple threads. A running task occupies a slot but no thread, so that threads do not limit the
 * number of connections.
 */
public final class StandInEndpoint implements AutoCloseable {
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int UNPROCESSABLE = 422;
    private static final int UNAVAILABLE = 503;
    private static final long LAST_ANSWERS_MILLIS = 5_000;
    private static final String TASK_ID = "Task-Id";
    private static final String NOT_STARTED = "Task-Not-Started";

    private final EndpointOptions options;
    private final Ledger ledger = new Ledger();
    private final FaultSwitches faults = new FaultSwitches();
    private final ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor(StandInEndpoint::daemon);
    private final Map<String, RunningTask> running = new HashMap<>();
    private final Optional<Registration> registration;
    private final HttpServer server;
    private boolean draining;

    private StandInEndpoint(EndpointOptions options) {
        this.options = options;
        this.registration = options.platform()
                .map(platform -> new Registration(platform, options.id().value()));
        this.server = HttpServer.start(options.ip(), options.port(), this::handle, faults::shouldCloseUnread);
    }

    /** Starts an endpoint and registers it with the platform, if one is configured. */
    public static StandInEndpoint start(EndpointOptions options) {
        StandInEndpoint endpoint = new StandInEndpoint(options);
        endpoint.registration.ifPresent(platform -> platform.register(endpoint.vmRecord()));
        return endpoint;
    }

    /** Returns the address on which the endpoint listens. */
    public Address address() {
        return server.address();
    }

    /** Drains the endpoint: refuses new tasks, waits for the running tasks and the linger time, then closes. */
    public void drain() throws InterruptedException {
        long deadline = System.nanoTime() + options.linger().toNanos();
        synchronized (this) {
            draining = true;
        }
        registration.ifPresent(Registration::markLeaving);
        synchronized (this) {
            while (!running.isEmpty() || deadline - System.nanoTime() > 0) {
                long left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
                wait(Math.max(1, left));
            }
        }
        registration.ifPresent(Registration::deregister);
        server.awaitAnswered(LAST_ANSWERS_MILLIS);
        close();
    }

    @Override
    public void close() {
        clock.shutdownNow();
        server.close();
        registration.ifPresent(Registration::close);
    }

    private VmRecord vmRecord() {
        return new VmRecord(
                options.id().value(),
                VmRole.ENDPOINT,
                options.domain(),
                server.address(),
                VmState.LIVE,
                options.services(),
                options.slots());
    }

    private void handle(HttpExchange exchange) {
        String path = exchange.path();
        if (path.equals("/tasks") && exchange.method().equals("POST")) {
            startTask(exchange);
        } else if (path.startsWith("/tasks/") && exchange.method().equals("DELETE")) {
            stopTask(exchange, path.substring("/tasks/".length()));
        } else if (path.equals("/health")) {
            String state = isDraining() ? "draining" : "live";
            exchange.reply(decorate(
                    HttpReply.json(OK, JsonNodeFactory.instance.objectNode().put("state", state))));
        } else if (path.equals("/ledger")) {
            exchange.reply(
                    HttpReply.json(OK, ledger.json(exchange.query("summary").isEmpty())));
        } else if (path.startsWith("/faults")) {
            switchFault(exchange, path.substring(path.lastIndexOf('/') + 1));
        } else {
            exchange.reply(HttpReply.empty(NOT_FOUND));
        }
    }

    private void startTask(HttpExchange exchange) {
        String id = required(exchange, TASK_ID);
        String kindName = required(exchange, "Task-Kind");
        int attempt = exchange.header("Task-Attempt").map(Integer::parseInt).orElse(1);
        String tag = "";
        JsonNode result;
        long millis;
        try {
            TaskKind kind = TaskKind.of(kindName);
            JsonNode input = exchange.json();
            tag = input.path("tag").asText("");
            result = kind.result(input);
            millis = kind.runTimeMillis(input);
        } catch (IllegalArgumentException e) {
            Start start = new Start(id, attempt, kindName, tag);
            ledger.recordStart(start);
            start.recordEnd();
            exchange.reply(decorate(HttpReply.error(UNPROCESSABLE, String.valueOf(e.getMessage()))
                    .withHeader(TASK_ID, id)));
            return;
        }
        Optional<Fault> fault = faults.takeFault(kindName);
        Start start = new Start(id, attempt, kindName, tag);
        Optional<RunningTask> started = allocateSlot(id, exchange, fault, start);
        started.ifPresent(task -> run(task, fault.map(Fault::type), exchange, result, millis));
    }

    /** Allocates a slot for a task, or answers with a refusal. */
    private synchronized Optional<RunningTask> allocateSlot(
            String id, HttpExchange exchange, Optional<Fault> fault, Start start) {
        if (draining) {
            ledger.recordDrainingRefusal();
            exchange.reply(refusal(id, "draining"));
            return Optional.empty();
        }
        boolean pretendBusy = fault.filter(one -> one.type() == FaultType.BUSY).isPresent();
        if (pretendBusy || running.size() >= options.slots()) {
            ledger.recordBusyRefusal();
            exchange.reply(refusal(id, "busy"));
            return Optional.empty();
        }
        RunningTask task = new RunningTask(id, exchange, fault, start);
        ledger.recordStart(start);
        // A second start of a task that still runs is for the ledger to show; it holds a slot of its own.
        running.put(running.containsKey(id) ? id + "/" + System.nanoTime() : id, task);
        return Optional.of(task);
    }

    private HttpReply refusal(String id, String why) {
        return decorate(
                HttpReply.error(UNAVAILABLE, why).withHeader(TASK_ID, id).withHeader(NOT_STARTED, why));
    }

    private void run(
            RunningTask task, Optional<FaultType> fault, HttpExchange exchange, JsonNode result, long runTimeMillis) {
        if (fault.filter(type -> type == FaultType.HANG).isPresent()) {
            return;
        }
        if (fault.filter(type -> type == FaultType.FAIL_ALL).isPresent()) {
            finish(task, () -> task.fail("failed by an active fault", this::decorate));
            return;
        }
        if (fault.filter(type -> type == FaultType.CLOSE_AFTER_READ).isPresent()) {
            exchange.close();
        }
        clock.schedule(
                () -> finish(task, () -> task.succeed(result, this::decorate)), runTimeMillis, TimeUnit.MILLISECONDS);
    }

    /** Ends a task. Frees the slot before it answers, so that the slot is free when the client reads the answer. */
    private void finish(RunningTask task, Runnable answer) {
        if (!task.tryEnd()) {
            return;
        }
        synchronized (this) {
            running.values().remove(task);
            notifyAll();
        }
        answer.run();
    }

    private void stopTask(HttpExchange exchange, String id) {
        RunningTask task;
        synchronized (this) {
            task = running.get(id);
        }
        if (task == null) {
            ledger.recordUselessStop();
            exchange.reply(HttpReply.empty(NOT_FOUND));
            return;
        }
        task.recordStop();
        finish(task, () -> task.fail("stopped on request", this::decorate));
        exchange.reply(decorate(HttpReply.empty(NO_CONTENT)));
    }

    private void switchFault(HttpExchange exchange, String name) {
        if (exchange.method().equals("DELETE")) {
            faults.clear();
        } else if (name.equals("refuse-connections")) {
            long millis = exchange.query("ms").map(Long::parseLong).orElse(0L);
            exchange.reply(HttpReply.empty(NO_CONTENT));
            clock.execute(server::refuseConnections);
            clock.schedule(server::resumeListening, millis, TimeUnit.MILLISECONDS);
            return;
        } else {
            faults.switchOn(name, exchange);
        }
        exchange.reply(HttpReply.empty(NO_CONTENT));
    }

    private HttpReply decorate(HttpReply reply) {
        return isDraining() ? reply.withHeader("Endpoint-State", "draining").withHeader("Connection", "close") : reply;
    }

    private synchronized boolean isDraining() {
        return draining;
    }

    private static String required(HttpExchange exchange, String header) {
        return exchange.header(header)
                .orElseThrow(() -> new IllegalArgumentException("header " + header + " is missing"));
    }

    private static Thread daemon(Runnable work) {
        Thread thread = new Thread(work, "standin-clock");
        thread.setDaemon(true);
        return thread;
    }
}
