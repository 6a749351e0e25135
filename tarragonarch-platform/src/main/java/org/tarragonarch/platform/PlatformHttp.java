package org.tarragonarch.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.platform.connection.ClosedConnectionCheck;
import org.tarragonarch.platform.connection.ClosedConnectionException;

/** Sends calls to the platform; each failed call states whether it may have taken effect. */
final class PlatformHttp implements AutoCloseable {
    static final int OK = 200;
    static final int CREATED = 201;
    static final int NOT_MODIFIED = 304;
    static final int NOT_FOUND = 404;
    static final int CONFLICT = 409;
    static final int PRECONDITION_FAILED = 412;

    private static final int FIRST_SERVER_ERROR = 500;
    private static final String NOT_APPLIED = "Not-Applied";
    private static final String CLIENT_NAME = "Client-Name";
    private static final MediaType JSON = MediaType.get("application/json");
    private static final MediaType BYTES = MediaType.get("application/octet-stream");
    private static final int MAX_IDLE_CONNECTIONS = 4;
    private static final int IDLE_SECONDS = 30;

    private final ObjectMapper mapper = new ObjectMapper();
    private final HttpUrl base;
    private final String name;
    private final OkHttpClient client;

    PlatformHttp(Address address, String name, Duration timeout) {
        this.base = new HttpUrl.Builder()
                .scheme("http")
                .host(address.ip())
                .port(address.port())
                .build();
        this.name = name;
        // OkHttp's retries could repeat a write that has already taken effect.
        this.client = ClosedConnectionCheck.addTo(new OkHttpClient.Builder())
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .proxy(Proxy.NO_PROXY)
                .protocols(List.of(Protocol.HTTP_1_1))
                .connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_SECONDS, TimeUnit.SECONDS))
                .callTimeout(timeout)
                .connectTimeout(timeout)
                .readTimeout(timeout)
                .writeTimeout(timeout)
                .eventListenerFactory(SendTracker::of)
                .build();
    }

    /** Sends a read. */
    PlatformReply get(PlatformPart part, HttpUrl url) throws PlatformException {
        return call(part, new Request.Builder().url(url).get(), false);
    }

    /** Sends a read; the reply has the status {@link #NOT_MODIFIED} if the resource still has the given entity tag. */
    PlatformReply getIfChanged(PlatformPart part, HttpUrl url, Optional<String> tag) throws PlatformException {
        Request.Builder request = new Request.Builder().url(url).get();
        tag.ifPresent(known -> request.header("If-None-Match", known));
        return call(part, request, false);
    }

    /** Sends a read whose parameters are in the body. */
    PlatformReply readByPost(PlatformPart part, HttpUrl url, JsonNode body) throws PlatformException {
        return call(part, new Request.Builder().url(url).post(json(body)), false);
    }

    /** Sends a write. */
    PlatformReply post(PlatformPart part, HttpUrl url, JsonNode body) throws PlatformException {
        return call(part, new Request.Builder().url(url).post(json(body)), true);
    }

    /** Writes a resource; the reply has the status {@link #PRECONDITION_FAILED} if it exists already. */
    PlatformReply putIfAbsent(PlatformPart part, HttpUrl url, byte[] body) throws PlatformException {
        Request.Builder request =
                new Request.Builder().url(url).header("If-None-Match", "*").put(RequestBody.create(body, BYTES));
        return call(part, request, true);
    }

    /** Returns the URL of a path, whose segments are escaped as needed. */
    HttpUrl url(String... segments) {
        HttpUrl.Builder url = base.newBuilder();
        for (String segment : segments) {
            url.addPathSegment(segment);
        }
        return url.build();
    }

    @Override
    public void close() {
        client.dispatcher().cancelAll();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private RequestBody json(JsonNode body) {
        try {
            return RequestBody.create(mapper.writeValueAsBytes(body), JSON);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a JSON tree", e);
        }
    }

    private PlatformReply call(PlatformPart part, Request.Builder builder, boolean write) throws PlatformException {
        SendTracker tracker = new SendTracker();
        builder.tag(SendTracker.class, tracker);
        if (!name.isEmpty()) {
            builder.header(CLIENT_NAME, name);
        }
        Request request = builder.build();
        try (Response response = execute(request)) {
            byte[] body = response.body().bytes();
            PlatformReply reply = new PlatformReply(
                    part, write, response.code(), Optional.ofNullable(response.header("ETag")), body, mapper);
            checkNoServerError(reply, response.header(NOT_APPLIED) != null);
            return reply;
        } catch (IOException e) {
            throw callFailed(part, write && tracker.mayHaveSent(), e);
        }
    }

    /** Executes a call, on a new connection if the platform has closed the idle ones. */
    private Response execute(Request request) throws IOException {
        for (int attempt = 0; attempt < MAX_IDLE_CONNECTIONS; attempt++) {
            try {
                return client.newCall(request).execute();
            } catch (ClosedConnectionException e) {
                // No byte of the request was sent, so a retry cannot repeat a write.
            }
        }
        return client.newCall(request).execute();
    }

    private static void checkNoServerError(PlatformReply reply, boolean notApplied) throws PlatformException {
        if (reply.status() < FIRST_SERVER_ERROR) {
            return;
        }
        // A server error may come after the write took effect; only the Not-Applied header rules that out.
        throw new PlatformException(
                reply.part().word(),
                "the " + reply.part().word() + " answered " + reply.status(),
                reply.write() && !notApplied,
                null);
    }

    private static PlatformException callFailed(PlatformPart part, boolean mayHaveApplied, IOException cause) {
        String failure = mayHaveApplied ? "no reply from the " : "cannot reach the ";
        return new PlatformException(
                part.word(), failure + part.word() + ": " + cause.getMessage(), mayHaveApplied, cause);
    }
}
