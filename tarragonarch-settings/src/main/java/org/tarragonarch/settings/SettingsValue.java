package org.tarragonarch.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/** A value of a settings file that remembers where it stands. */
sealed interface SettingsValue {
    /** Returns where the value, or the key that names it, stands. */
    SourceLocation location();

    /** Returns what a person would call this type of value. */
    String typeName();

    /** An object; its keys keep their order. */
    record ObjectValue(SourceLocation location, ImmutableMap<String, SettingsValue> children) implements SettingsValue {
        @Override
        public String typeName() {
            return "an object";
        }
    }

    /** A list. */
    record ListValue(SourceLocation location, ImmutableList<SettingsValue> items) implements SettingsValue {
        @Override
        public String typeName() {
            return "a list";
        }
    }

    /** A text, number, truth value or null. */
    record ScalarValue(SourceLocation location, JsonNode node) implements SettingsValue {
        @Override
        public String typeName() {
            return switch (node.getNodeType()) {
                case STRING -> "a text";
                case NUMBER -> "a number";
                case BOOLEAN -> "true or false";
                default -> "null";
            };
        }

        boolean isNull() {
            return node.isNull();
        }
    }
}
