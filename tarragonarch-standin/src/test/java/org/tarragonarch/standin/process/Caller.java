package org.tarragonarch.standin.process;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** An HTTP client of the proof-board service. */
final class Caller {
    static final String TOKEN = "token-of-upload-page";
    static final String SERVICE = "proof-board";
    /** An idempotent kind: answers whether a domain is available, after a given run time. */
    static final String IDEMPOTENT = "availability";
    /** A kind that is not idempotent: sleeps and returns its input. */
    static final String NON_IDEMPOTENT = "sleep";

    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ObjectMapper mapper = new ObjectMapper();

    /**
     * Submits a request.
     *
     * @param tag identifies the request in the ledgers of the endpoints
     * @param millis the run time
     * @param key the idempotency key, or null
     */
    CompletableFuture<CallerAnswer> submitRequest(NodeProcess node, String kind, String tag, int millis, String key) {
        ObjectNode message = mapper.createObjectNode();
        message.set("input", input(tag, millis));
        return submit(node, "requests/" + kind, message, key, TIMEOUT);
    }

    /** Submits a request without a key, to be answered within {@code timeAllowed}. */
    CompletableFuture<CallerAnswer> submitWithTimeAllowed(
            NodeProcess node, String kind, String tag, int millis, Duration timeAllowed) {
        ObjectNode message = mapper.createObjectNode();
        message.set("input", input(tag, millis));
        return submit(node, "requests/" + kind, message, null, timeAllowed);
    }

    /** Submits a job of equal tasks; the tag of each is followed by a hyphen and its number. */
    CompletableFuture<CallerAnswer> submitJob(NodeProcess node, String kind, String tag, int tasks, int millis) {
        ObjectNode message = mapper.createObjectNode();
        ArrayNode array = message.putArray("tasks");
        for (int i = 0; i < tasks; i++) {
            array.addObject().set("input", input(tag + "-" + i, millis));
        }
        return submit(node, "jobs/" + kind, message, null, TIMEOUT);
    }

    boolean isReady(NodeProcess node) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(uri(node, "/ready")).timeout(TIMEOUT).build();
        return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
    }

    private ObjectNode input(String tag, int millis) {
        return mapper.createObjectNode()
                .put("tag", tag)
                .put("ms", millis)
                .put("run-time-ms", millis)
                .put("domain", "proofreading.example");
    }

    private CompletableFuture<CallerAnswer> submit(
            NodeProcess node, String path, ObjectNode message, String key, Duration timeAllowed) {
        HttpRequest.Builder request = HttpRequest.newBuilder(uri(node, "/v1/services/" + SERVICE + "/" + path))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + TOKEN)
                .header("Content-Type", "application/json")
                .header("Time-Allowed-Ms", Long.toString(timeAllowed.toMillis()))
                .POST(HttpRequest.BodyPublishers.ofString(message.toString()));
        if (key != null) {
            request.header("Idempotency-Key", key);
        }
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofByteArray())
                .thenApply(this::answer);
    }

    private CallerAnswer answer(HttpResponse<byte[]> response) {
        try {
            return new CallerAnswer(
                    response.statusCode(),
                    response.headers().firstValue("Outcome").orElse(""),
                    response.headers().firstValue("Retry-After").orElse(""),
                    mapper.readTree(response.body()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static URI uri(NodeProcess node, String path) {
        return URI.create("http://" + node.caller() + path);
    }
}
