package org.tarragonarch.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One row of a table.
 *
 * @param key the row's key
 * @param version the number of times the row was written
 * @param value the row's value
 * @param insertedNanos when the row was inserted, by {@link System#nanoTime}
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
