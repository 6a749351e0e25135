package org.tarragonarch.entry.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import io.jooby.Context;
import io.jooby.StatusCode;
import org.tarragonarch.entry.http.Exchange;
import org.tarragonarch.entry.http.ProblemJson;
import org.tarragonarch.entry.log.LogLine;
import org.tarragonarch.model.outcome.Step;

/** Sends answers of the administration API; every method but {@link #respond} must run on the event loop. */
final class AdminAnswers {
    static final String JSON = "application/json";

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private AdminAnswers() {}

    /** Runs {@code answer} on the event loop of the request; may be called from any thread. */
    static void respond(Context context, Runnable answer) {
        Exchange.of(context).respond(answer);
    }

    static Context send(Context context, JsonNode json) {
        context.setResponseType(JSON);
        return context.send(ProblemJson.bytes(json));
    }

    static Context send(Context context, StatusCode status, String type, String text) {
        context.setResponseCode(status);
        context.setResponseType(type);
        return context.send(text);
    }

    static void sendProblem(Context context, AdminException e) {
        if (e.status() == AdminProblem.UNAUTHENTICATED) {
            context.setResponseHeader("WWW-Authenticate", "Bearer");
        }
        context.setResponseCode(StatusCode.valueOf(e.status()));
        context.setResponseType(ProblemJson.MEDIA_TYPE);
        context.send(ProblemJson.bytes(e.json()));
    }

    static void sendFault(Context context, Throwable cause) {
        LOG.atSevere().withCause(cause).log("%s", LogLine.of("handler-failed", Step.READ, "operator"));
        sendProblem(
                context,
                new AdminException(new AdminProblem(
                        AdminProblem.FAULT,
                        "fault",
                        Step.READ,
                        "node",
                        "internal error; the log of the node has the cause")));
    }
}
