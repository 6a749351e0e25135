package org.tarragonarch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Builds a transaction of the table service, whose operations are applied atomically. */
final class Transaction {
    private final ObjectNode json = JsonNodeFactory.instance.objectNode();
    private final ArrayNode operations = json.putArray("operations");

    Transaction insertIfAbsent(String table, String key, JsonNode value) {
        operation("insert-if-absent", table, key).set("value", value);
        return this;
    }

    Transaction replaceIfVersion(String table, String key, long version, JsonNode value) {
        operation("replace-if-version", table, key).put("version", version).set("value", value);
        return this;
    }

    Transaction deleteIfValue(String table, String key, JsonNode value) {
        operation("delete-if-value", table, key).set("value", value);
        return this;
    }

    JsonNode toJson() {
        return json;
    }

    private ObjectNode operation(String name, String table, String key) {
        return operations.addObject().put("operation", name).put("table", table).put("key", key);
    }
}
