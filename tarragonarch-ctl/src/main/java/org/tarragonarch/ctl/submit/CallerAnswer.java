package org.tarragonarch.ctl.submit;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The answer to a submission.
 *
 * @param status the HTTP status
 * @param body the answer's JSON
 */
public record CallerAnswer(int status, JsonNode body) {
    private static final String COMPLETE = "complete";

    /** Checks the parts. */
    public CallerAnswer {
        checkNotNull(body, "body");
    }

    /** Returns whether every task succeeded. */
    public boolean isComplete() {
        return text("outcome").equals(COMPLETE);
    }

    /** Returns a field of the answer as text; empty where it is missing. */
    public String text(String field) {
        return body.path(field).asText("");
    }
}
