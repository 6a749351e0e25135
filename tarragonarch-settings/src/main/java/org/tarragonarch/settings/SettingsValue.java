package org.tarragonarch.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/** A value of a settings file, with its source location. */
sealed interface SettingsValue {
    /** Returns the location of the key of the value, or of the value itself if it is a list item or the root. */
    SourceLocation location();

    /** Returns the name of the type of value as used in messages, such as {@code a list}. */
    String typeName();

    /** An object; its keys are in file order. */
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

    /** A string, number, boolean or null. */
    record ScalarValue(SourceLocation location, JsonNode node) implements SettingsValue {
        @Override
        public String typeName() {
            return switch (node.getNodeType()) {
                case STRING -> "a string";
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
