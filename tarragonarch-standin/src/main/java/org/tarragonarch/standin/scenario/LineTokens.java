package org.tarragonarch.standin.scenario;

import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

/** A reader of the words of one line, from left to right. */
final class LineTokens {
    private static final Splitter SPACES = Splitter.on(CharMatcher.whitespace()).omitEmptyStrings();

    private final int line;
    private final ImmutableList<String> tokens;
    private int position;

    LineTokens(int line, String text) {
        this.line = line;
        this.tokens = ImmutableList.copyOf(SPACES.split(text));
    }

    boolean isEmpty() {
        return position == tokens.size();
    }

    /**
     * Returns the next word.
     *
     * @throws ScenarioSyntaxException if the line has no more words
     */
    String nextWord() throws ScenarioSyntaxException {
        if (isEmpty()) {
            throw syntaxError("the line ends unexpectedly");
        }
        return tokens.get(position++);
    }

    /** Skips the next word if it equals the given one; returns whether it does. */
    boolean skipIf(String word) {
        boolean found = !isEmpty() && tokens.get(position).equals(word);
        position += found ? 1 : 0;
        return found;
    }

    /**
     * Skips the next word.
     *
     * @throws ScenarioSyntaxException if it does not equal the required word
     */
    void skipRequired(String word) throws ScenarioSyntaxException {
        if (!skipIf(word)) {
            throw syntaxError("'" + word + "' is missing");
        }
    }

    int nextInt() throws ScenarioSyntaxException {
        String word = nextWord();
        try {
            return Integer.parseInt(word);
        } catch (NumberFormatException e) {
            throw syntaxError("'" + word + "' is not a number");
        }
    }

    double nextShare() throws ScenarioSyntaxException {
        String word = nextWord();
        try {
            return Double.parseDouble(word);
        } catch (NumberFormatException e) {
            throw syntaxError("'" + word + "' is not a number");
        }
    }

    /** Returns a time or duration such as {@code 250ms} or {@code 30s}, in nanoseconds. */
    long nextNanos() throws ScenarioSyntaxException {
        String word = nextWord();
        boolean millis = word.endsWith("ms");
        String digits = word.substring(0, Math.max(0, word.length() - (millis ? 2 : 1)));
        if (!word.endsWith("s")
                || digits.isEmpty()
                || !CharMatcher.inRange('0', '9').matchesAllOf(digits)) {
            throw syntaxError("'" + word + "' is not a time such as 250ms or 30s");
        }
        long count = Long.parseLong(digits);
        return (millis ? Duration.ofMillis(count) : Duration.ofSeconds(count)).toNanos();
    }

    /** Returns the time that follows a word, in nanoseconds, or an empty value if the word is not next. */
    Optional<Long> nextNanosAfter(String word) throws ScenarioSyntaxException {
        return skipIf(word) ? Optional.of(nextNanos()) : Optional.empty();
    }

    /** Returns a constant of an enum, written as {@code fails-all} for {@code FAILS_ALL}. */
    <E extends Enum<E>> E nextConstant(Class<E> type) throws ScenarioSyntaxException {
        String word = nextWord();
        try {
            return Enum.valueOf(type, word.replace('-', '_').toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw syntaxError("'" + word + "' is not a " + type.getSimpleName());
        }
    }

    void checkEnd() throws ScenarioSyntaxException {
        if (!isEmpty()) {
            throw syntaxError("'" + tokens.get(position) + "' is unexpected");
        }
    }

    ScenarioSyntaxException syntaxError(String message) {
        return new ScenarioSyntaxException(line, message + " in '" + String.join(" ", tokens) + "'");
    }
}
