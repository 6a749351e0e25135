package org.tarragonarch.ctl.submit;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The answer to a submission.
 *
 * @param status the HTTP status
 * @param body the JSON body
 */
public record CallerAnswer(int status, JsonNode body) {
    private static final String COMPLETE = "complete";

    /** Creates an answer. */
    public CallerAnswer {
        checkNotNull(body, "body");
    }

    /** Returns whether every task succeeded. */
    public boolean isComplete() {
        return text("outcome").equals(COMPLETE);
    }

    /** Returns a field of the body as text, or an empty string if it is missing. */
    public String text(String field) {
        return body.path(field).asText("");
    }
}
