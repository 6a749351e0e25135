package org.tarragonarch.standin.process;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What a caller got.
 *
 * @param status the HTTP status
 * @param outcome the outcome of the answer's header
 * @param retryAfter the header that names the time to come back; empty if there is none
 * @param body the answer
 */
record CallerAnswer(int status, String outcome, String retryAfter, JsonNode body) {
    boolean isComplete() {
        return outcome.equals("complete");
    }

    String code() {
        return body.path("code").asText();
    }
}
