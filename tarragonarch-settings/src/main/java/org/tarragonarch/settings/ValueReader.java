package org.tarragonarch.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.settings.SettingsValue.ListValue;
import org.tarragonarch.settings.SettingsValue.ScalarValue;

/** Reads the values of an object's keys, and records a mistake if a value is not of the expected type. */
final class ValueReader {
    private final SettingsKeys keys;

    ValueReader(SettingsKeys keys) {
        this.keys = keys;
    }

    /** Reads an optional string; an empty string is a mistake. */
    Optional<String> optionalText(String key) {
        return scalar(key, JsonNode::isTextual, "a string")
                .map(JsonNode::textValue)
                .filter(text -> {
                    if (text.isEmpty()) {
                        keys.addMistake(key, "is empty");
                    }
                    return !text.isEmpty();
                });
    }

    /** Reads an optional whole number from {@code min} to {@code max}, both included. */
    Optional<Long> optionalInteger(String key, long min, long max) {
        return scalar(key, JsonNode::isNumber, "a whole number").flatMap(node -> {
            boolean fits = node.isIntegralNumber()
                    && node.canConvertToLong()
                    && node.longValue() >= min
                    && node.longValue() <= max;
            if (!fits) {
                keys.addMistake(key, node.asText() + " is not a whole number from " + min + " to " + max);
            }
            return fits ? Optional.of(node.longValue()) : Optional.empty();
        });
    }

    /** Reads an optional boolean. */
    Optional<Boolean> optionalBool(String key) {
        return scalar(key, JsonNode::isBoolean, "true or false").map(JsonNode::booleanValue);
    }

    /** Reads an optional duration; zero is allowed. */
    Optional<Duration> optionalDuration(String key) {
        if (keys.child(key).filter(ValueReader::isNumber).isPresent()) {
            keys.addMistake(
                    key,
                    "is a number; write a duration as a string with a unit, " + DurationText.UNITS + ", as in \"30s\"");
            return Optional.empty();
        }
        return optionalText(key).flatMap(text -> convert(key, text, DurationText::parse));
    }

    /** Reads an optional address. */
    Optional<Address> optionalAddress(String key) {
        return optionalText(key).flatMap(text -> convert(key, text, Address::parse));
    }

    /** Reads a list of addresses, or returns an empty list if the key is missing. */
    ImmutableList<Address> addresses(String key) {
        return texts(key).stream()
                .flatMap(text -> convert(key, text, Address::parse).stream())
                .collect(ImmutableList.toImmutableList());
    }

    /** Reads a list of strings, or returns an empty list if the key is missing. */
    ImmutableList<String> texts(String key) {
        SettingsValue found = keys.child(key).orElse(null);
        if (found == null) {
            return ImmutableList.of();
        }
        if (!(found instanceof ListValue list)) {
            keys.addMistake(key, "is " + found.typeName() + ", expected a list of strings");
            return ImmutableList.of();
        }
        ImmutableList.Builder<String> texts = ImmutableList.builder();
        for (SettingsValue item : list.items()) {
            if (item instanceof ScalarValue scalar && scalar.node().isTextual()) {
                texts.add(scalar.node().textValue());
            } else {
                keys.addMistakeAt(item.location(), key, "contains " + item.typeName() + ", expected only strings");
            }
        }
        return texts.build();
    }

    /** Reads an optional duration that must be more than zero. */
    Optional<Duration> optionalPositiveDuration(String key) {
        return optionalDuration(key).filter(duration -> {
            if (duration.isZero()) {
                keys.addMistake(key, "must be more than zero");
            }
            return !duration.isZero();
        });
    }

    private Optional<JsonNode> scalar(String key, Function<JsonNode, Boolean> fits, String expected) {
        SettingsValue found = keys.child(key).orElse(null);
        if (found == null) {
            return Optional.empty();
        }
        if (found instanceof ScalarValue scalar && fits.apply(scalar.node())) {
            return Optional.of(scalar.node());
        }
        keys.addMistake(key, "is " + found.typeName() + ", expected " + expected);
        return Optional.empty();
    }

    private static boolean isNumber(SettingsValue found) {
        return found instanceof ScalarValue scalar && scalar.node().isNumber();
    }

    private <T> Optional<T> convert(String key, String text, Function<String, T> conversion) {
        try {
            return Optional.of(conversion.apply(text));
        } catch (IllegalArgumentException e) {
            keys.addMistake(key, e.getMessage());
            return Optional.empty();
        }
    }
}
