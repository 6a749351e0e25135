package org.tarragonarch.entry.endpoint;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;
import okhttp3.Response;
import okhttp3.ResponseBody;
import org.tarragonarch.core.event.SendResult;
import org.tarragonarch.model.id.TaskId;

/**
 * Classifies the answer of an endpoint to a task.
 *
 * <p>Only a complete answer with a known status and the id of the task is trusted. Any other answer is classified as
 * {@link SendResult#LOST}, which leaves open whether the task ran: a wrong "not started" would let the task start
 * twice, and a wrong "succeeded" would give a caller the result of another.
 */
final class AnswerReader {
    private static final String CLOSE = "close";
    private static final int MAX_DETAIL_LENGTH = 300;

    private final JsonFactory factory = new JsonFactory();
    private final ObjectMapper mapper = new ObjectMapper();
    private final long maxBytes;

    /** Creates a reader that accepts bodies of up to {@code maxBytes} bytes. */
    AnswerReader(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reads the whole answer and classifies it; blocks until the answer has arrived or failed. */
    EndpointAnswer read(TaskId task, Response response) {
        boolean leaving = leaving(response);
        try {
            return classify(task, response, completeBody(response), leaving);
        } catch (IOException e) {
            return lost(leaving, "the answer was cut short: " + e.getMessage());
        }
    }

    private EndpointAnswer classify(TaskId task, Response response, byte[] body, boolean leaving) {
        String id = response.header(EndpointProtocol.TASK_ID);
        if (!task.toString().equals(id)) {
            return lost(leaving, id == null ? "the answer has no task id" : "the answer is for task " + id);
        }
        return switch (response.code()) {
            case EndpointProtocol.SUCCEEDED ->
                isJson(body) ? EndpointAnswer.succeeded(leaving, body) : lost(leaving, "the result is not JSON");
            case EndpointProtocol.TASK_REJECTED, EndpointProtocol.TASK_FAILED ->
                detail(body)
                        .map(detail -> EndpointAnswer.of(SendResult.TASK_FAILED, leaving, detail))
                        .orElseGet(() -> lost(leaving, "status " + response.code() + " without a detail field"));
            case EndpointProtocol.NOT_STARTED -> notStarted(response, leaving);
            default -> lost(leaving, "status " + response.code() + " is not part of the protocol");
        };
    }

    private static EndpointAnswer notStarted(Response response, boolean leaving) {
        String reason = response.header(EndpointProtocol.TASK_NOT_STARTED, "");
        return switch (reason) {
            case EndpointProtocol.BUSY -> EndpointAnswer.of(SendResult.REFUSED_BUSY, leaving, "all slots are in use");
            case EndpointProtocol.DRAINING ->
                EndpointAnswer.of(SendResult.REFUSED_DRAINING, true, "the endpoint is leaving");
            default -> lost(leaving, "status 503 without the header that the task was not started");
        };
    }

    private byte[] completeBody(Response response) throws IOException {
        ResponseBody body = response.body();
        long length = body.contentLength();
        if (length < 0) {
            throw new IOException("no Content-Length, so completeness cannot be checked");
        }
        if (length > maxBytes) {
            throw new IOException(length + " bytes exceed the limit of " + maxBytes + " bytes");
        }
        return body.source().readByteArray(length);
    }

    private boolean isJson(byte[] body) {
        try (JsonParser parser = factory.createParser(body)) {
            if (parser.nextToken() == null) {
                return false;
            }
            parser.skipChildren();
            return parser.nextToken() == null;
        } catch (IOException e) {
            return false;
        }
    }

    private Optional<String> detail(byte[] body) {
        try {
            JsonNode detail = mapper.readTree(body).path("detail");
            return Optional.ofNullable(detail.textValue())
                    .map(text -> text.length() > MAX_DETAIL_LENGTH ? text.substring(0, MAX_DETAIL_LENGTH) : text);
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static boolean leaving(Response response) {
        return EndpointProtocol.DRAINING.equals(response.header(EndpointProtocol.ENDPOINT_STATE))
                || CLOSE.equalsIgnoreCase(response.header("Connection"));
    }

    private static EndpointAnswer lost(boolean leaving, String detail) {
        return EndpointAnswer.of(SendResult.LOST, leaving, detail);
    }
}
