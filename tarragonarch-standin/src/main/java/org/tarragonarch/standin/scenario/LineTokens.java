package org.tarragonarch.standin.scenario;

import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

/** The words of one line, read from left to right. */
final class LineTokens {
    private static final Splitter SPACES = Splitter.on(CharMatcher.whitespace()).omitEmptyStrings();

    private final int line;
    private final ImmutableList<String> words;
    private int next;

    LineTokens(int line, String text) {
        this.line = line;
        this.words = ImmutableList.copyOf(SPACES.split(text));
    }

    boolean isEmpty() {
        return next == words.size();
    }

    /** Takes the next word. */
    String nextWord() throws ScenarioSyntaxException {
        if (isEmpty()) {
            throw syntaxError("the line ends too early");
        }
        return words.get(next++);
    }

    /** Takes the next word if it is this one. */
    boolean skipIf(String word) {
        boolean found = !isEmpty() && words.get(next).equals(word);
        next += found ? 1 : 0;
        return found;
    }

    /** Takes the next word, which must be this one. */
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
            throw syntaxError("'" + word + "' is no number");
        }
    }

    double nextShare() throws ScenarioSyntaxException {
        String word = nextWord();
        try {
            return Double.parseDouble(word);
        } catch (NumberFormatException e) {
            throw syntaxError("'" + word + "' is no share");
        }
    }

    /** Takes a time or duration such as {@code 250ms} or {@code 30s}, in nanoseconds. */
    long nextNanos() throws ScenarioSyntaxException {
        String word = nextWord();
        boolean millis = word.endsWith("ms");
        String digits = word.substring(0, Math.max(0, word.length() - (millis ? 2 : 1)));
        if (!word.endsWith("s")
                || digits.isEmpty()
                || !CharMatcher.inRange('0', '9').matchesAllOf(digits)) {
            throw syntaxError("'" + word + "' is no time such as 250ms or 30s");
        }
        long count = Long.parseLong(digits);
        return (millis ? Duration.ofMillis(count) : Duration.ofSeconds(count)).toNanos();
    }

    /** Takes a time that stands behind this word, if the word comes next. */
    Optional<Long> nextNanosAfter(String word) throws ScenarioSyntaxException {
        return skipIf(word) ? Optional.of(nextNanos()) : Optional.empty();
    }

    /** Takes the constant of an enum, written as {@code fails-all} for {@code FAILS_ALL}. */
    <E extends Enum<E>> E nextConstant(Class<E> type) throws ScenarioSyntaxException {
        String word = nextWord();
        try {
            return Enum.valueOf(type, word.replace('-', '_').toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw syntaxError("'" + word + "' is no " + type.getSimpleName());
        }
    }

    void checkEnd() throws ScenarioSyntaxException {
        if (!isEmpty()) {
            throw syntaxError("'" + words.get(next) + "' is too much");
        }
    }

    ScenarioSyntaxException syntaxError(String message) {
        return new ScenarioSyntaxException(line, message + " in '" + String.join(" ", words) + "'");
    }
}
