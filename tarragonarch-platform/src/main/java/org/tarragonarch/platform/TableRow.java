package org.tarragonarch.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One row as the table service gives it.
 *
 * @param key the row's key
 * @param version how often the row was written; the table service counts
 * @param value the row's value
 */
record TableRow(String key, long version, JsonNode value) {
    static TableRow of(PlatformReply reply, JsonNode json) throws PlatformException {
        JsonNode value = json.path("value");
        if (!json.path("key").isTextual() || !json.path("version").isIntegralNumber() || !value.isObject()) {
            throw reply.unusableBody("a row lacks its key, version or value", null);
        }
        return new TableRow(json.path("key").textValue(), json.path("version").longValue(), value);
    }
}
