package org.tarragonarch.ctl.submit;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;

/**
 * A request or a job that is to be tried.
 *
 * @param service the service
 * @param resource the resource, {@code requests} or {@code jobs}
 * @param kind the kind
 * @param body the message
 * @param idempotencyKey makes sending it again harmless
 * @param timeAllowed after which it is given up on
 * @param requestId the caller's own mark
 */
public record Submission(
        ServiceName service,
        String resource,
        KindName kind,
        JsonNode body,
        Optional<String> idempotencyKey,
        Optional<Duration> timeAllowed,
        Optional<String> requestId) {
    /** Checks the parts. */
    public Submission {
        checkNotNull(service, "service");
        checkNotNull(resource, "form");
        checkNotNull(kind, "kind");
        checkNotNull(body, "body");
        checkNotNull(idempotencyKey, "idempotencyKey");
        checkNotNull(timeAllowed, "timeAllowed");
        checkNotNull(requestId, "requestId");
    }
}
