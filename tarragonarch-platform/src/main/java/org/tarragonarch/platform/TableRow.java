package org.tarragonarch.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One row of the table service.
 *
 * @param key the row's key
 * @param version the number of times the row was written, as counted by the table service
 * @param value the row's value
 */
record TableRow(String key, long version, JsonNode value) {
    /**
     * Reads a row of a reply.
     *
     * @throws PlatformException if the row is malformed
     */
    static TableRow of(PlatformReply reply, JsonNode json) throws PlatformException {
        JsonNode value = json.path("value");
        if (!json.path("key").isTextual() || !json.path("version").isIntegralNumber() || !value.isObject()) {
            throw reply.unusableBody("the key, version or value of a row is missing or malformed", null);
        }
        return new TableRow(json.path("key").textValue(), json.path("version").longValue(), value);
    }
}
