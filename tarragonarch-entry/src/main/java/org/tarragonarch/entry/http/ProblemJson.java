package org.tarragonarch.entry.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import org.tarragonarch.model.outcome.Problem;

/** Writes problems as {@code application/problem+json}. */
public final class ProblemJson {
    /** The media type of problem answers. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TYPE_PREFIX = "urn:tarragonarch:problem:";
    private static final long MILLIS_PER_SECOND = 1_000;

    private ProblemJson() {}

    /** Converts a problem to JSON. */
    public static ObjectNode of(int status, Problem problem, ProblemIds ids) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("type", TYPE_PREFIX + problem.code().word());
        json.put("title", problem.code().word().replace('-', ' '));
        json.put("status", status);
        json.put("detail", problem.detail());
        json.put("outcome", problem.code().outcome().word());
        json.put("code", problem.code().word());
        json.put("step", problem.step().word());
        json.put("peer", problem.peer());
        ids.submission().ifPresent(id -> json.put("id", id));
        ids.request().ifPresent(id -> json.put("request-id", id));
        problem.task().ifPresent(task -> json.put("task", task.index()));
        problem.retryAfter().ifPresent(wait -> json.put("retry-after-ms", wait.toMillis()));
        return json;
    }

    /** Returns the value of the {@code Retry-After} header: whole seconds, rounded up, at least 1. */
    public static String retryAfterSeconds(Duration wait) {
        return Long.toString(Math.max(1, (wait.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND));
    }

    /** Serializes JSON as UTF-8. */
    public static byte[] bytes(JsonNode json) {
        try {
            return MAPPER.writeValueAsBytes(json);
        } catch (JsonProcessingException e) {
            throw new AssertionError("JSON tree cannot be serialized", e);
        }
    }
}
