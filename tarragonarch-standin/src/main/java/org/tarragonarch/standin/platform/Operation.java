package org.tarragonarch.standin.platform;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One operation of a transaction.
 *
 * @param type the type of the operation
 * @param table the table's name
 * @param key the row's key
 * @param version the version that the condition requires; 0 requires that there is no row
 * @param value the value to write, or the value that the condition requires
 */
record Operation(OperationType type, String table, String key, long version, JsonNode value) {
    static Operation of(JsonNode json) {
        checkArgument(json.path("table").isTextual(), "an operation has no table");
        checkArgument(json.path("key").isTextual(), "an operation has no key");
        return new Operation(
                OperationType.of(json.path("operation").asText()),
                json.path("table").textValue(),
                json.path("key").textValue(),
                json.path("version").asLong(),
                json.path("value"));
    }
}
