package org.tarragonarch.standin.platform;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One operation of a transaction.
 *
 * @param type what it does
 * @param table the table it works on
 * @param key the row's key
 * @param version the version it asks for; 0 stands for no row
 * @param value the value it writes or asks for
 */
record Operation(OperationType type, String table, String key, long version, JsonNode value) {
    static Operation of(JsonNode json) {
        checkArgument(json.path("table").isTextual(), "an operation lacks its table");
        checkArgument(json.path("key").isTextual(), "an operation lacks its key");
        return new Operation(
                OperationType.of(json.path("operation").asText()),
                json.path("table").textValue(),
                json.path("key").textValue(),
                json.path("version").asLong(),
                json.path("value"));
    }
}
