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
 * Sends each task once and posts exactly one {@link TaskEnded} for each send.
 *
 * <p>The retry of OkHttp is disabled, because it could start a task twice unnoticed. No method blocks; answers are read
 * on OkHttp's threads, one per open exchange. The core decides how many tasks run at an endpoint, so this client has no
 * limit per endpoint (OkHttp's limit would count all ports of an IP address together).
 */
public final class EndpointClient implements AutoCloseable {
    private static final MediaType JSON = MediaType.get("application/json");
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration CONTROL_CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final long MAX_CONTROL_BODY_BYTES = 4_096;
    private static final Duration IDLE_CONNECTION_TIMEOUT = Duration.ofSeconds(30);

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
                .connectionPool(new ConnectionPool(
                        limits.maxIdleConnections(), IDLE_CONNECTION_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS))
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
     * Creates a client; it opens connections on demand.
     *
     * @param bodies the store of task inputs and results
     * @param events receives {@link TaskEnded} and {@link ProbeEnded}
     * @param metrics counts the messages
     * @param limits the limits on exchanges, connections and results
     */
    public static EndpointClient create(
            BodyStore bodies, EventSink events, NodeMetrics metrics, EndpointLimits limits) {
        return new EndpointClient(bodies, events, metrics, limits);
    }

    /** Sends a task. Its end is posted when the result is known, at the latest when the allowed time has passed. */
    public void send(SendTask action) {
        Optional<TaskContent> content = bodies.task(action.task());
        if (content.isEmpty()) {
            reportEnd(
                    action,
                    EndpointAnswer.of(SendResult.CONNECT_FAILED, false, "the input of the task is no longer stored"));
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
                // No byte was sent. Each such failure removes a pooled connection, so the retries end with a new one.
                send(action, content, deadlineNanos);
            } else {
                reportEnd(
                        action,
                        response != null ? readAnswer(action.task(), response) : connectionFailure(tracker, failure));
            }
        });
    }

    /**
     * Abandons a send whose result is no longer wanted.
     *
     * <p>With a stop message, the exchange is cancelled after the call that delivers the message. Without one, the
     * exchange runs to its end, so that the slot counts as used while the task occupies it.
     */
    public void stop(StopTask action) {
        Call call = running.get(new Send(action.task(), action.attempt()));
        if (call == null || !action.sendStop()) {
            return;
        }
        metrics.countWastedMessage(WasteKind.STOP);
        HttpUrl url = url(action.address(), EndpointProtocol.TASKS)
                .newBuilder()
                .addPathSegment(action.task().toString())
                .build();
        sendControlCall(new Request.Builder().url(url).delete().build(), answer -> call.cancel());
    }

    /** Asks an endpoint for its health and posts the answer as {@link ProbeEnded}. */
    public void probe(ProbeEndpoint action) {
        metrics.countWastedMessage(WasteKind.PROBE);
        Request request = new Request.Builder()
                .url(url(action.address(), EndpointProtocol.HEALTH))
                .build();
        sendControlCall(request, health -> {
            boolean live = health.filter(text -> text.contains('"' + EndpointProtocol.LIVE + '"'))
                    .isPresent();
            boolean draining = health.filter(text -> text.contains('"' + EndpointProtocol.DRAINING + '"'))
                    .isPresent();
            events.post(new ProbeEnded(action.endpoint(), live, draining));
        });
    }

    /** Returns the number of open task exchanges. */
    public int openExchanges() {
        return running.size();
    }

    /** Cancels all exchanges and closes the idle connections. */
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
                // By default OkHttp requests gzip and hides the Content-Length, which the completeness check needs.
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

    // Every send must end, even if the reader throws: otherwise the core would count its slot as used indefinitely.
    private EndpointAnswer readAnswer(TaskId task, Response response) {
        try {
            return reader.read(task, response);
        } catch (RuntimeException e) {
            return EndpointAnswer.of(SendResult.LOST, false, "cannot read the answer: " + e);
        }
    }

    private static EndpointAnswer connectionFailure(SendTracker tracker, IOException failure) {
        return tracker.mayHaveSent()
                ? EndpointAnswer.of(SendResult.LOST, false, "the connection broke: " + failure.getMessage())
                : EndpointAnswer.of(SendResult.CONNECT_FAILED, false, "no connection: " + failure.getMessage());
    }

    private void reportEnd(SendTask action, EndpointAnswer answer) {
        answer.body().ifPresent(result -> bodies.putResult(action.task(), result));
        metrics.countSend(answer.result());
        events.post(new TaskEnded(
                action.task(),
                action.attempt(),
                action.endpoint(),
                answer.result(),
                answer.leaving(),
                answer.detail()));
    }

    private void sendControlCall(Request request, Consumer<Optional<String>> onAnswer) {
        Call call = http.newCall(request);
        call.timeout().timeout(CONTROL_CALL_TIMEOUT.toNanos(), TimeUnit.NANOSECONDS);
        enqueue(call, (response, failure) -> onAnswer.accept(text(response)));
    }

    private static Optional<String> text(Response response) {
        if (response == null || response.code() != EndpointProtocol.SUCCEEDED) {
            return Optional.empty();
        }
        try {
            return Optional.of(response.peekBody(MAX_CONTROL_BODY_BYTES).string());
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static void enqueue(Call call, Completion completion) {
        call.enqueue(new Callback() {
            @Override
            public void onFailure(Call failed, IOException failure) {
                completion.completed(null, failure);
            }

            @Override
            public void onResponse(Call answered, Response response) {
                try (response) {
                    completion.completed(response, null);
                }
            }
        });
    }

    private interface Completion {
        void completed(Response response, IOException failure);
    }

    private record Send(TaskId task, int attempt) {}
}
