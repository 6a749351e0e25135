package org.tarragonarch.standin.endpoint;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Locale;

/** The kinds of task of a stand-in endpoint. */
enum TaskKind {
    /** Counts the words of a text. */
    WORD_COUNT("word-count") {
        @Override
        JsonNode result(JsonNode input) {
            return JSON.objectNode().put("words", words(input).size());
        }
    },
    /** Returns the words of a text that are not in a small word list. */
    SPELLING("spelling") {
        @Override
        JsonNode result(JsonNode input) {
            ObjectNode result = JSON.objectNode();
            ArrayNode unknown = result.putArray("unknown");
            for (String word : words(input)) {
                String plain = LETTERS.retainFrom(word).toLowerCase(Locale.ROOT);
                if (!plain.isEmpty() && !KNOWN_WORDS.contains(plain)) {
                    unknown.add(plain);
                }
            }
            return result;
        }
    },
    /** Returns whether a domain name is available: names of under six letters and a few others are taken. */
    AVAILABILITY("availability") {
        @Override
        JsonNode result(JsonNode input) {
            checkArgument(input.path("domain").isTextual(), "the input has no 'domain'");
            String domain = input.path("domain").textValue();
            String label = Splitter.on('.').split(domain).iterator().next();
            boolean available = label.length() >= SHORTEST_FREE_NAME && !TAKEN_NAMES.contains(label);
            return JSON.objectNode().put("domain", domain).put("available", available);
        }
    },
    /** Waits for the time in the input, then returns the input. */
    SLEEP("sleep") {
        @Override
        JsonNode result(JsonNode input) {
            return input;
        }

        @Override
        long runTimeMillis(JsonNode input) {
            checkArgument(input.path("ms").canConvertToInt(), "the input has no 'ms'");
            return input.has(RUN_TIME)
                    ? super.runTimeMillis(input)
                    : input.path("ms").longValue();
        }
    };

    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;
    private static final String RUN_TIME = "run-time-ms";
    private static final long DEFAULT_MILLIS = 5;
    private static final int SHORTEST_FREE_NAME = 6;
    private static final CharMatcher LETTERS = CharMatcher.inRange('a', 'z').or(CharMatcher.inRange('A', 'Z'));
    private static final ImmutableSet<String> TAKEN_NAMES = ImmutableSet.of("kivilahti", "derwent", "hobart", "espoo");
    private static final ImmutableSet<String> KNOWN_WORDS = ImmutableSet.of(
            "a",
            "an",
            "and",
            "are",
            "at",
            "author",
            "board",
            "book",
            "by",
            "count",
            "fox",
            "in",
            "is",
            "it",
            "job",
            "manuscript",
            "member",
            "of",
            "on",
            "page",
            "pages",
            "quick",
            "river",
            "the",
            "to",
            "was",
            "word",
            "words");

    private final String word;

    TaskKind(String word) {
        this.word = word;
    }

    static TaskKind of(String word) {
        for (TaskKind kind : values()) {
            if (kind.word.equals(word)) {
                return kind;
            }
        }
        throw new IllegalArgumentException("'" + word + "' is not a kind of task");
    }

    /**
     * Returns the result of a task.
     *
     * @throws IllegalArgumentException if the input is malformed
     */
    abstract JsonNode result(JsonNode input);

    /** Returns the run time of a task, in milliseconds. */
    long runTimeMillis(JsonNode input) {
        return input.path(RUN_TIME).asLong(DEFAULT_MILLIS);
    }

    private static List<String> words(JsonNode input) {
        JsonNode text = input.isObject() ? input.path("text") : input;
        checkArgument(text.isTextual(), "the input is not text");
        return Splitter.on(CharMatcher.whitespace()).omitEmptyStrings().splitToList(text.textValue());
    }
}
