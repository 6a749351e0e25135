package org.tarragonarch.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableMap;

/**
 * An answer to a request.
 *
 * @param status the HTTP status code
 * @param headers the headers except {@code Content-Length}
 * @param body the body, which is not copied
 */
public record HttpReply(int status, ImmutableMap<String, String> headers, byte[] body) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final byte[] NO_BODY = {};

    /** Returns an answer with a JSON body. */
    public static HttpReply json(int status, JsonNode body) {
        try {
            return new HttpReply(
                    status, ImmutableMap.of("Content-Type", "application/json"), MAPPER.writeValueAsBytes(body));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree cannot be written", e);
        }
    }

    /** Returns an answer with a JSON object that holds only a description of the error. */
    public static HttpReply error(int status, String detail) {
        return json(status, MAPPER.createObjectNode().put("detail", detail));
    }

    /** Returns an answer without a body. */
    public static HttpReply empty(int status) {
        return new HttpReply(status, ImmutableMap.of(), NO_BODY);
    }

    /** Returns a copy of this answer with an additional header. */
    public HttpReply withHeader(String name, String value) {
        ImmutableMap<String, String> allHeaders = ImmutableMap.<String, String>builder()
                .putAll(headers)
                .put(name, value)
                .buildOrThrow();
        return new HttpReply(status, allHeaders, body);
    }
}
