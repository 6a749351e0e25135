package org.tarragonarch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Collects the operations of one transaction of the table service, which takes effect whole or not at all. */
final class Transaction {
    private final ObjectNode toJson = JsonNodeFactory.instance.objectNode();
    private final ArrayNode operations = toJson.putArray("operations");

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
        return toJson;
    }

    private ObjectNode operation(String name, String table, String key) {
        return operations.addObject().put("operation", name).put("table", table).put("key", key);
    }
}
