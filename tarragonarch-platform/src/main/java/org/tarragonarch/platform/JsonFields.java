package org.tarragonarch.platform;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;

/** Reads required fields of JSON objects. */
final class JsonFields {
    private JsonFields() {}

    /**
     * Returns the value of a string field.
     *
     * @throws IllegalArgumentException if the field is missing or not a string
     */
    static String text(JsonNode json, String field) {
        JsonNode value = json.path(field);
        checkArgument(value.isTextual(), "field '%s' is missing or not a string", field);
        return value.textValue();
    }

    /**
     * Returns the value of an integer field.
     *
     * @throws IllegalArgumentException if the field is missing, not an integer or out of range of a long
     */
    static long number(JsonNode json, String field) {
        JsonNode value = json.path(field);
        checkArgument(
                value.canConvertToLong() && value.isIntegralNumber(), "field '%s' is missing or not an integer", field);
        return value.longValue();
    }
}
