package org.tarragonarch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;

/**
 * A complete reply of the platform.
 *
 * @param part the part of the platform that replied
 * @param write whether the call was a write
 * @param status the HTTP status
 * @param tag the {@code ETag} header, if there is one
 * @param body the body, empty if there is none
 * @param mapper parses the body
 */
record PlatformReply(
        PlatformPart part, boolean write, int status, Optional<String> tag, byte[] body, ObjectMapper mapper) {
    /**
     * Returns the body as a JSON object.
     *
     * @throws PlatformException if the body is not a JSON object
     */
    JsonNode json() throws PlatformException {
        try {
            JsonNode node = mapper.readTree(body);
            if (node == null || !node.isObject()) {
                throw unusableBody("the body is not a JSON object", null);
            }
            return node;
        } catch (IOException e) {
            throw unusableBody("the body is not JSON", e);
        }
    }

    /** Returns the exception for a status that the protocol doesn't define for this call. */
    PlatformException unexpectedStatus() {
        return new PlatformException(part.word(), "the " + part.word() + " answered " + status, mayHaveApplied(), null);
    }

    /** Returns the exception for a malformed body. */
    PlatformException unusableBody(String detail, Exception cause) {
        return new PlatformException(
                part.word(), "the reply of the " + part.word() + " is unusable: " + detail, mayHaveApplied(), cause);
    }

    private boolean mayHaveApplied() {
        // A 4xx status rejects the call before it takes effect; after any other reply, a write may have taken effect.
        boolean rejected = status >= 400 && status < 500;
        return write && !rejected;
    }
}
