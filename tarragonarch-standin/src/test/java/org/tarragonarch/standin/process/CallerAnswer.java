package org.tarragonarch.standin.process;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The HTTP response to a submission.
 *
 * @param status the HTTP status
 * @param outcome the {@code Outcome} header; empty if there is none
 * @param retryAfter the {@code Retry-After} header; empty if there is none
 * @param body the parsed body
 */
record CallerAnswer(int status, String outcome, String retryAfter, JsonNode body) {
    boolean isComplete() {
        return outcome.equals("complete");
    }

    String code() {
        return body.path("code").asText();
    }
}
