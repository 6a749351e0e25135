package org.tarragonarch.entry.log;

import com.google.common.base.CharMatcher;
import java.util.Map;
import org.tarragonarch.model.outcome.Step;

/**
 * One line of the log as {@code key=value} pairs: event, step and peer first.
 *
 * <p>Rendered only if the line is written, so a line that the rate limit drops costs next to nothing.
 */
public final class LogLine {
    private static final CharMatcher PLAIN = CharMatcher.inRange('!', '~').and(CharMatcher.noneOf("\"=\\"));

    private final StringBuilder text = new StringBuilder();

    private LogLine() {}

    /**
     * Starts a line.
     *
     * @param event what happened, in words joined by dashes
     * @param step the step at which it happened
     * @param peer whom it happened with
     */
    public static LogLine of(String event, Step step, String peer) {
        return new LogLine().with("event", event).with("step", step.word()).with("peer", peer);
    }

    /** Adds a fact. */
    public LogLine with(String key, Object value) {
        if (text.length() > 0) {
            text.append(' ');
        }
        text.append(key).append('=');
        appendValue(text, String.valueOf(value));
        return this;
    }

    /** Adds facts. */
    public LogLine with(Map<String, String> facts) {
        facts.forEach(this::with);
        return this;
    }

    static void appendValue(StringBuilder text, String value) {
        if (!value.isEmpty() && PLAIN.matchesAllOf(value)) {
            text.append(value);
            return;
        }
        text.append('"');
        for (int i = 0; i < value.length(); i++) {
            appendEscaped(text, value.charAt(i));
        }
        text.append('"');
    }

    // Text from outside must not be able to begin a line of its own and so forge an event.
    private static void appendEscaped(StringBuilder text, char c) {
        switch (c) {
            case '"' -> text.append("\\\"");
            case '\\' -> text.append("\\\\");
            case '\n' -> text.append("\\n");
            case '\r' -> text.append("\\r");
            default -> text.append(Character.isISOControl(c) ? ' ' : c);
        }
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
