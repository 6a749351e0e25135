package org.tarragonarch.entry.admin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tarragonarch.model.outcome.Step;

/**
 * The reason why a request of an operator was refused or failed.
 *
 * @param status the HTTP status
 * @param code the machine-readable code
 * @param step the step that failed
 * @param peer the other party of that step
 * @param detail the human-readable explanation
 */
record AdminProblem(int status, String code, Step step, String peer, String detail) {
    static final int BAD_REQUEST = 400;
    static final int UNAUTHENTICATED = 401;
    static final int FORBIDDEN = 403;
    static final int NOT_FOUND = 404;
    static final int CONFLICT = 409;
    static final int FAULT = 500;
    static final int UNAVAILABLE = 503;

    ObjectNode json() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("type", "urn:tarragonarch:problem:" + code);
        json.put("title", code.replace('-', ' '));
        json.put("status", status);
        json.put("detail", detail);
        json.put("code", code);
        json.put("step", step.word());
        json.put("peer", peer);
        return json;
    }
}
