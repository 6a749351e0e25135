package org.tarragonarch.entry.endpoint;

import java.util.Optional;
import org.tarragonarch.core.event.SendResult;

/**
 * The classified result of one send of a task.
 *
 * @param result how the send ended
 * @param leaving whether the endpoint announced that it is leaving
 * @param detail the human-readable explanation; empty on success
 * @param body the result of the task; empty unless it succeeded
 */
record EndpointAnswer(SendResult result, boolean leaving, String detail, Optional<byte[]> body) {
    static EndpointAnswer of(SendResult result, boolean leaving, String detail) {
        return new EndpointAnswer(result, leaving, detail, Optional.empty());
    }

    static EndpointAnswer succeeded(boolean leaving, byte[] body) {
        return new EndpointAnswer(SendResult.SUCCEEDED, leaving, "", Optional.of(body));
    }
}
