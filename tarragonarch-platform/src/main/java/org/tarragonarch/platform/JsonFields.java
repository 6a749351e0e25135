package org.tarragonarch.platform;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;

/** Takes required fields from JSON objects. */
final class JsonFields {
    private JsonFields() {}

    /** Returns a field's text; throws {@link IllegalArgumentException} if it is missing or no text. */
    static String text(JsonNode json, String field) {
        JsonNode value = json.path(field);
        checkArgument(value.isTextual(), "field '%s' is missing or no text", field);
        return value.textValue();
    }

    /** Returns a field's whole number; throws {@link IllegalArgumentException} if it is missing or no such number. */
    static long number(JsonNode json, String field) {
        JsonNode value = json.path(field);
        checkArgument(value.canConvertToLong() && value.isIntegralNumber(), "field '%s' is no whole number", field);
        return value.longValue();
    }
}
