package org.tarragonarch.ctl.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import org.tarragonarch.model.id.Address;

/** Reads the fields of a JSON object; the exception for an invalid field names the node and the field. */
final class JsonReader {
    private final Address node;
    private final JsonNode object;

    JsonReader(Address node, JsonNode object) {
        this.node = node;
        this.object = object;
    }

    String text(String field) throws AdminException {
        JsonNode found = object.path(field);
        if (!found.isTextual()) {
            throw invalidField(field, "a string");
        }
        return found.textValue();
    }

    long number(String field) throws AdminException {
        JsonNode found = object.path(field);
        if (!found.isIntegralNumber()) {
            throw invalidField(field, "a whole number");
        }
        return found.longValue();
    }

    boolean bool(String field) throws AdminException {
        JsonNode found = object.path(field);
        if (!found.isBoolean()) {
            throw invalidField(field, "true or false");
        }
        return found.booleanValue();
    }

    <T> ImmutableList<T> list(String field, ItemReader<T> reader) throws AdminException {
        JsonNode found = object.path(field);
        if (!found.isArray()) {
            throw invalidField(field, "a list");
        }
        return items(node, found, reader);
    }

    static <T> ImmutableList<T> items(Address node, JsonNode list, ItemReader<T> reader) throws AdminException {
        ImmutableList.Builder<T> items = ImmutableList.builder();
        for (JsonNode item : list) {
            items.add(reader.read(new JsonReader(node, item)));
        }
        return items.build();
    }

    AdminException invalidField(String field, String expected) {
        return AdminException.unreadable(node, "'" + field + "' is missing or not " + expected);
    }
}
