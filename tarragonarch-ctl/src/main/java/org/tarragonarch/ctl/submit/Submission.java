package org.tarragonarch.ctl.submit;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.ServiceName;

/**
 * A request or job to submit.
 *
 * @param service the service
 * @param resource the resource of the caller API, {@code requests} or {@code jobs}
 * @param kind the kind
 * @param body the JSON body
 * @param idempotencyKey the key that makes a repeated submission harmless
 * @param timeAllowed the time allowed for the answer
 * @param requestId an id chosen by the caller, returned in the answer
 */
public record Submission(
        ServiceName service,
        String resource,
        KindName kind,
        JsonNode body,
        Optional<String> idempotencyKey,
        Optional<Duration> timeAllowed,
        Optional<String> requestId) {
    /** Creates a submission. */
    public Submission {
        checkNotNull(service, "service");
        checkNotNull(resource, "resource");
        checkNotNull(kind, "kind");
        checkNotNull(body, "body");
        checkNotNull(idempotencyKey, "idempotencyKey");
        checkNotNull(timeAllowed, "timeAllowed");
        checkNotNull(requestId, "requestId");
    }
}
