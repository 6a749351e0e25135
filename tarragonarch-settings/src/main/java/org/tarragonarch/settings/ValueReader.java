package org.tarragonarch.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.settings.SettingsValue.ListValue;
import org.tarragonarch.settings.SettingsValue.ScalarValue;

/** Reads the values of one object's keys, and records a mistake where a value is not of the type that is due. */
final class ValueReader {
    private final SettingsKeys keys;

    ValueReader(SettingsKeys keys) {
        this.keys = keys;
    }

    /** Reads a text that may be missing; an empty one is a mistake. */
    Optional<String> optionalText(String key) {
        return scalar(key, JsonNode::isTextual, "a text")
                .map(JsonNode::textValue)
                .filter(text -> {
                    if (text.isEmpty()) {
                        keys.addMistake(key, "is empty");
                    }
                    return !text.isEmpty();
                });
    }

    /** Reads a whole number between two bounds that may be missing. */
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

    /** Reads true or false that may be missing. */
    Optional<Boolean> optionalBool(String key) {
        return scalar(key, JsonNode::isBoolean, "true or false").map(JsonNode::booleanValue);
    }

    /** Reads a duration that may be missing; zero is allowed. */
    Optional<Duration> optionalDuration(String key) {
        if (keys.child(key).filter(ValueReader::isNumber).isPresent()) {
            keys.addMistake(
                    key,
                    "is a bare number; a duration is a text with a unit, " + DurationText.UNITS + ", as in \"30s\"");
            return Optional.empty();
        }
        return optionalText(key).flatMap(text -> converted(key, text, DurationText::parse));
    }

    /** Reads an address that may be missing. */
    Optional<Address> optionalAddress(String key) {
        return optionalText(key).flatMap(text -> converted(key, text, Address::parse));
    }

    /** Reads a list of addresses; a missing one reads as an empty list. */
    ImmutableList<Address> addresses(String key) {
        return texts(key).stream()
                .flatMap(text -> converted(key, text, Address::parse).stream())
                .collect(ImmutableList.toImmutableList());
    }

    /** Reads a list of texts; a missing one reads as an empty list. */
    ImmutableList<String> texts(String key) {
        SettingsValue found = keys.child(key).orElse(null);
        if (found == null) {
            return ImmutableList.of();
        }
        if (!(found instanceof ListValue list)) {
            keys.addMistake(key, "is " + found.typeName() + " where a list of texts is due");
            return ImmutableList.of();
        }
        ImmutableList.Builder<String> texts = ImmutableList.builder();
        for (SettingsValue item : list.items()) {
            if (item instanceof ScalarValue scalar && scalar.node().isTextual()) {
                texts.add(scalar.node().textValue());
            } else {
                keys.addMistakeAt(item.location(), key, "holds " + item.typeName() + " where a text is due");
            }
        }
        return texts.build();
    }

    /** Reads a duration that may be missing and must be more than zero. */
    Optional<Duration> optionalPositiveDuration(String key) {
        return optionalDuration(key).filter(duration -> {
            if (duration.isZero()) {
                keys.addMistake(key, "must be more than zero");
            }
            return !duration.isZero();
        });
    }

    private Optional<JsonNode> scalar(String key, Function<JsonNode, Boolean> fits, String due) {
        SettingsValue found = keys.child(key).orElse(null);
        if (found == null) {
            return Optional.empty();
        }
        if (found instanceof ScalarValue scalar && fits.apply(scalar.node())) {
            return Optional.of(scalar.node());
        }
        keys.addMistake(key, "is " + found.typeName() + " where " + due + " is due");
        return Optional.empty();
    }

    private static boolean isNumber(SettingsValue found) {
        return found instanceof ScalarValue scalar && scalar.node().isNumber();
    }

    private <T> Optional<T> converted(String key, String text, Function<String, T> conversion) {
        try {
            return Optional.of(conversion.apply(text));
        } catch (IllegalArgumentException e) {
            keys.addMistake(key, e.getMessage());
            return Optional.empty();
        }
    }
}
