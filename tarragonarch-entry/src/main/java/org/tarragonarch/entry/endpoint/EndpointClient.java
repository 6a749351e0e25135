package org.tarragonarch.entry.endpoint;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.io.IOException;
import java.net.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.EventListener;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.tarragonarch.core.action.ProbeEndpoint;
import org.tarragonarch.core.action.SendTask;
import org.tarragonarch.core.action.StopTask;
import org.tarragonarch.core.event.ProbeEnded;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.core.event.TaskEnded;
import org.tarragonarch.entry.body.BodyStore;
import org.tarragonarch.entry.body.TaskContent;
import org.tarragonarch.entry.control.EventSink;
import org.tarragonarch.entry.metrics.NodeMetrics;
import org.tarragonarch.entry.metrics.WasteKind;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.TaskId;
import org.tarragonarch.platform.connection.ClosedConnectionCheck;
import org.tarragonarch.platform.connection.ClosedConnectionException;

/**
 * Sends tasks to endpoints, each once, and reports exactly one {@code TaskEnded} for each send.
 *
 * <p>OkHttp's own retry is off, as it hides a second start. No method blocks; the answers are read on OkHttp's threads,
 * one for each exchange under way. How many run at an endpoint at once is the core's decision, so the client itself
 * sets no bound per endpoint (OkHttp's counts all ports of an IP number as one).
 */
public final class EndpointClient implements AutoCloseable {
    private static final MediaType JSON = MediaType.get("application/json");
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration SMALL_CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final long SMALL_BODY_BYTES = 4_096;
    private static final Duration KEEP_IDLE = Duration.ofSeconds(30);

    private final OkHttpClient http;
    private final AnswerReader reader;
    private final BodyStore bodies;
    private final EventSink events;
    private final NodeMetrics metrics;
    private final ConcurrentMap<Send, Call> running = new ConcurrentHashMap<>();

    private EndpointClient(BodyStore bodies, EventSink events, NodeMetrics metrics, EndpointLimits limits) {
        this.bodies = checkNotNull(bodies, "bodies");
        this.events = checkNotNull(events, "events");
        this.metrics = checkNotNull(metrics, "metrics");
        this.reader = new AnswerReader(limits.maxResultBytes());
        this.http = ClosedConnectionCheck.addTo(new OkHttpClient.Builder())
                .dispatcher(dispatcher(limits.maxExchanges()))
                .connectionPool(
                        new ConnectionPool(limits.maxIdleConnections(), KEEP_IDLE.toMillis(), TimeUnit.MILLISECONDS))
                .protocols(List.of(Protocol.HTTP_1_1))
                .proxy(Proxy.NO_PROXY)
                .eventListenerFactory(EndpointClient::listener)
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .followSslRedirects(false)
                .connectTimeout(CONNECT_TIMEOUT)
                .readTimeout(Duration.ZERO)
                .writeTimeout(Duration.ZERO)
                .build();
    }

    /**
     * Returns a client without connections.
     *
     * @param bodies holds the inputs and takes the results
     * @param events takes the ends
     * @param metrics counts the messages
     * @param limits what the client may take up
     */
    public static EndpointClient create(
            BodyStore bodies, EventSink events, NodeMetrics metrics, EndpointLimits limits) {
        return new EndpointClient(bodies, events, metrics, limits);
    }

    /** Sends a task; its end is reported when it is certain what became of it, at the latest when its time is up. */
    public void send(SendTask action) {
        Optional<TaskContent> content = bodies.task(action.task());
        if (content.isEmpty()) {
            end(action, EndpointAnswer.of(SendResult.CONNECT_FAILED, false, "the task's body is gone"));
            return;
        }
        send(action, content.get(), System.nanoTime() + action.timeAllowed().toNanos());
    }

    private void send(SendTask action, TaskContent content, long deadlineNanos) {
        SendTracker tracker = new SendTracker();
        Call call = http.newCall(request(action, content, tracker));
        call.timeout().timeout(Math.max(1, deadlineNanos - System.nanoTime()), TimeUnit.NANOSECONDS);
        Send send = new Send(action.task(), action.attempt());
        running.put(send, call);
        enqueue(call, (response, failure) -> {
            running.remove(send);
            if (failure instanceof ClosedConnectionException) {
                // No byte has left. Each such failure takes a kept connection away, so that a new one is opened soon.
                send(action, content, deadlineNanos);
            } else {
                end(action, response != null ? answered(action.task(), response) : failed(tracker, failure));
            }
        });
    }

    /**
     * Abandons a send whose result is no longer wanted.
     *
     * <p>With a stop message the exchange is broken off once the endpoint has had the message; without one it runs to
     * its end, so that the slot counts as used for as long as it is.
     */
    public void stop(StopTask action) {
        Call call = running.get(new Send(action.task(), action.attempt()));
        if (call == null || !action.sendStop()) {
            return;
        }
        metrics.wasted(WasteKind.STOP);
        HttpUrl url = url(action.address(), EndpointProtocol.TASKS)
                .newBuilder()
                .addPathSegment(action.task().toString())
                .build();
        smallCall(new Request.Builder().url(url).delete().build(), answer -> call.cancel());
    }

    /** Asks an endpoint whether it takes work. */
    public void probe(ProbeEndpoint action) {
        metrics.wasted(WasteKind.PROBE);
        Request request = new Request.Builder()
                .url(url(action.address(), EndpointProtocol.HEALTH))
                .build();
        smallCall(request, health -> {
            boolean live = health.filter(text -> text.contains('"' + EndpointProtocol.LIVE + '"'))
                    .isPresent();
            boolean draining = health.filter(text -> text.contains('"' + EndpointProtocol.DRAINING + '"'))
                    .isPresent();
            events.post(new ProbeEnded(action.endpoint(), live, draining));
        });
    }

    /** Returns how many exchanges are under way. */
    public int exchanges() {
        return running.size();
    }

    /** Breaks off every exchange and closes all connections. */
    @Override
    public void close() {
        http.dispatcher().cancelAll();
        http.dispatcher().executorService().shutdown();
        http.connectionPool().evictAll();
    }

    private static Dispatcher dispatcher(int maxExchanges) {
        Dispatcher dispatcher = new Dispatcher(Executors.newCachedThreadPool(new ThreadFactoryBuilder()
                .setNameFormat("endpoint-%d")
                .setDaemon(true)
                .build()));
        dispatcher.setMaxRequests(maxExchanges);
        dispatcher.setMaxRequestsPerHost(maxExchanges);
        return dispatcher;
    }

    private static Request request(SendTask action, TaskContent content, SendTracker tracker) {
        return new Request.Builder()
                .url(url(action.address(), EndpointProtocol.TASKS))
                .header(EndpointProtocol.TASK_ID, action.task().toString())
                .header(EndpointProtocol.TASK_ATTEMPT, Integer.toString(action.attempt()))
                .header(EndpointProtocol.TASK_SERVICE, content.service().value())
                .header(EndpointProtocol.TASK_KIND, content.kind().value())
                .header(
                        EndpointProtocol.TASK_TIME_ALLOWED,
                        Long.toString(action.timeAllowed().toMillis()))
                // OkHttp would ask for gzip by itself and then hide the length by which the answer is checked.
                .header("Accept-Encoding", "identity")
                .post(RequestBody.create(content.input(), JSON))
                .tag(SendTracker.class, tracker)
                .build();
    }

    private static HttpUrl url(Address address, String path) {
        return new HttpUrl.Builder()
                .scheme("http")
                .host(address.ip())
                .port(address.port())
                .addPathSegment(path)
                .build();
    }

    private static EventListener listener(Call call) {
        SendTracker tracker = call.request().tag(SendTracker.class);
        return tracker == null ? EventListener.NONE : tracker;
    }

    // A fault of the reader must not swallow the end of a send: the core would count its slot as used indefinitely.
    private EndpointAnswer answered(TaskId task, Response response) {
        try {
            return reader.read(task, response);
        } catch (RuntimeException e) {
            return EndpointAnswer.of(SendResult.LOST, false, "the answer could not be read: " + e);
        }
    }

    private static EndpointAnswer failed(SendTracker tracker, IOException failure) {
        return tracker.mayHaveSent()
                ? EndpointAnswer.of(SendResult.LOST, false, "the connection broke: " + failure.getMessage())
                : EndpointAnswer.of(SendResult.CONNECT_FAILED, false, "no connection: " + failure.getMessage());
    }

    private void end(SendTask action, EndpointAnswer answer) {
        answer.body().ifPresent(result -> bodies.keepResult(action.task(), result));
        metrics.sendEnded(answer.result());
        events.post(new TaskEnded(
                action.task(),
                action.attempt(),
                action.endpoint(),
                answer.result(),
                answer.leaving(),
                answer.detail()));
    }

    private void smallCall(Request request, Consumer<Optional<String>> then) {
        Call call = http.newCall(request);
        call.timeout().timeout(SMALL_CALL_TIMEOUT.toNanos(), TimeUnit.NANOSECONDS);
        enqueue(call, (response, failure) -> then.accept(text(response)));
    }

    private static Optional<String> text(Response response) {
        if (response == null || response.code() != EndpointProtocol.SUCCEEDED) {
            return Optional.empty();
        }
        try {
            return Optional.of(response.peekBody(SMALL_BODY_BYTES).string());
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static void enqueue(Call call, Ending ending) {
        call.enqueue(new Callback() {
            @Override
            public void onFailure(Call failed, IOException failure) {
                ending.ended(null, failure);
            }

            @Override
            public void onResponse(Call answered, Response response) {
                try (response) {
                    ending.ended(response, null);
                }
            }
        });
    }

    private interface Ending {
        void ended(Response response, IOException failure);
    }

    private record Send(TaskId task, int attempt) {}
}
