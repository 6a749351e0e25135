package org.tarragonarch.entry.log;

import com.google.common.base.CharMatcher;
import java.util.Map;
import org.tarragonarch.model.outcome.Step;

/**
 * A log line of {@code key=value} pairs that starts with event, step and peer.
 *
 * <p>Values that are not plain ASCII without spaces are quoted and escaped.
 */
public final class LogLine {
    private static final CharMatcher PLAIN = CharMatcher.inRange('!', '~').and(CharMatcher.noneOf("\"=\\"));

    private final StringBuilder text = new StringBuilder();

    private LogLine() {}

    /**
     * Starts a line.
     *
     * @param event the event name, in kebab case
     * @param step the step in which the event occurred
     * @param peer the other party of the step
     */
    public static LogLine of(String event, Step step, String peer) {
        return new LogLine().with("event", event).with("step", step.word()).with("peer", peer);
    }

    /** Appends a key with the string form of its value. */
    public LogLine with(String key, Object value) {
        if (text.length() > 0) {
            text.append(' ');
        }
        text.append(key).append('=');
        appendValue(text, String.valueOf(value));
        return this;
    }

    /** Appends all entries of a map, in its iteration order. */
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

    // Escapes line breaks, so that text from outside cannot forge a line of its own.
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
