package org.tarragonarch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;

/** A whole reply of the platform, with what is needed to say what a strange one means. */
record PlatformReply(
        PlatformPart part, boolean write, int status, Optional<String> tag, byte[] body, ObjectMapper mapper) {
    /** Returns the body as JSON. */
    JsonNode json() throws PlatformException {
        try {
            JsonNode node = mapper.readTree(body);
            if (node == null || !node.isObject()) {
                throw unusableBody("no JSON object", null);
            }
            return node;
        } catch (IOException e) {
            throw unusableBody("no JSON", e);
        }
    }

    /** Returns the error for a status that the protocol does not foresee here. */
    PlatformException unexpectedStatus() {
        return new PlatformException(part.word(), "the " + part.word() + " answered " + status, mayHaveApplied(), null);
    }

    /** Returns the error for a body that cannot be understood. */
    PlatformException unusableBody(String why, Exception cause) {
        return new PlatformException(
                part.word(), "the reply of the " + part.word() + " is unusable: " + why, mayHaveApplied(), cause);
    }

    private boolean mayHaveApplied() {
        // A 4xx rejects the call before it has any effect; any other reply to a write leaves the effect open.
        boolean rejected = status >= 400 && status < 500;
        return write && !rejected;
    }
}
