package org.tarragonarch.entry.endpoint;

import java.util.Optional;
import org.tarragonarch.core.event.SendResult;

/**
 * What is certain of one send.
 *
 * @param result how it ended
 * @param leaving whether the endpoint said that it is about to leave
 * @param detail a sentence for a person
 * @param body the task's result, where it succeeded
 */
record EndpointAnswer(SendResult result, boolean leaving, String detail, Optional<byte[]> body) {
    static EndpointAnswer of(SendResult result, boolean leaving, String detail) {
        return new EndpointAnswer(result, leaving, detail, Optional.empty());
    }

    static EndpointAnswer succeeded(boolean leaving, byte[] body) {
        return new EndpointAnswer(SendResult.SUCCEEDED, leaving, "", Optional.of(body));
    }
}
