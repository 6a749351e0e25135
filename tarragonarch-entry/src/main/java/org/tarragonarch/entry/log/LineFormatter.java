package org.tarragonarch.entry.log;

import com.google.common.base.Throwables;
import java.time.temporal.ChronoUnit;
import java.util.Locale;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Formats each record as one line: time, level, node, then the {@code key=value} pairs of the message. */
final class LineFormatter extends Formatter {
    private static final String EVENT_PREFIX = "event=";
    private static final Pattern BARE_EVENT = Pattern.compile("^[a-z-]+ step=");
    // The context that Flogger appends to a rate-limited line; only the number of skipped lines is kept.
    private static final Pattern CONTEXT = Pattern.compile(" \\[CONTEXT (.*) \\]$");
    private static final Pattern SKIPPED = Pattern.compile("skipped[=:] ?\"?(\\d+)");

    private final String node;

    LineFormatter(String node) {
        this.node = node;
    }

    @Override
    public String format(LogRecord record) {
        StringBuilder line = new StringBuilder();
        line.append("time=").append(record.getInstant().truncatedTo(ChronoUnit.MILLIS));
        line.append(" level=").append(record.getLevel().getName().toLowerCase(Locale.ROOT));
        line.append(" node=").append(node).append(' ');
        appendMessage(line, record);
        if (record.getThrown() != null) {
            line.append(" trace=");
            LogLine.appendValue(line, Throwables.getStackTraceAsString(record.getThrown()));
        }
        return line.append('\n').toString();
    }

    private void appendMessage(StringBuilder line, LogRecord record) {
        String message = withoutContext(record.getMessage());
        if (message.startsWith(EVENT_PREFIX)) {
            line.append(message.replace('\n', ' '));
            return;
        }
        if (BARE_EVENT.matcher(message).find()) {
            line.append(EVENT_PREFIX).append(message.replace('\n', ' '));
            return;
        }
        line.append("event=library-message step=lifecycle peer=").append(record.getLoggerName());
        line.append(" message=");
        LogLine.appendValue(line, message);
    }

    private static String withoutContext(String message) {
        Matcher context = CONTEXT.matcher(message);
        if (!context.find()) {
            return message;
        }
        Matcher skipped = SKIPPED.matcher(context.group(1));
        String text = message.substring(0, context.start());
        return skipped.find() ? text + " skipped=" + skipped.group(1) : text;
    }
}
