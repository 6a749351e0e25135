package org.tarragonarch.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One row of a table.
 *
 * @param key its key
 * @param version how often it was written
 * @param value its value
 * @param insertedNanos when it was inserted, by the process's monotonic clock
 */
record Row(String key, long version, JsonNode value, long insertedNanos) {
    ObjectNode json() {
        return JsonNodeFactory.instance
                .objectNode()
                .put("key", key)
                .put("version", version)
                .set("value", value);
    }
}
