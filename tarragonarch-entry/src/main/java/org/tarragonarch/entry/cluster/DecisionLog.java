package org.tarragonarch.entry.cluster;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.tarragonarch.model.log.NodeEvent;

/**
 * Structured lines on standard output, one a decision, written by a thread of their own.
 *
 * <p>Guards against a reader of standard output that stops reading: a write would block the control thread and with it
 * every request. Lines wait in a bounded queue; when it is full, whole lines are dropped and counted, and the count is
 * itself a line as soon as there is room.
 */
final class DecisionLog {
    /** Some ten seconds of lines at a node's busiest. */
    private static final int MAX_QUEUED_LINES = 2_000;

    /** What most lines stay below, in characters. */
    private static final int USUAL_LINE_LENGTH = 256;

    private final String node;
    private final PrintStream out;
    private final Clock clock;
    private final ArrayBlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final LineRateLimiter rate = new LineRateLimiter();

    DecisionLog(String node, PrintStream out) {
        this(node, out, Clock.systemUTC());
    }

    DecisionLog(String node, PrintStream out, Clock clock) {
        this.node = node;
        this.out = new PrintStream(out, false, StandardCharsets.UTF_8);
        this.clock = clock;
    }

    void start() {
        Thread writer = new Thread(this::writeAll, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Writes a line, unless many of its kind were written within the second; called by the control thread alone.
     *
     * @param fields names and values in turn; values are written as text unless they are numbers or booleans
     */
    void write(NodeEvent event, Object... fields) {
        Instant now = clock.instant();
        if (!rate.tryAcquire(event, now.toEpochMilli())) {
            return;
        }
        StringBuilder line = startLine(event, now);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            appendField(line, fields[i], fields[i + 1]);
        }
        long skipped = rate.takeSkipped(event);
        if (skipped > 0) {
            appendField(line, "skipped-before", skipped);
        }
        if (!queue.offer(line.append('}').toString())) {
            dropped.incrementAndGet();
        }
    }

    long droppedLines() {
        return dropped.get();
    }

    private StringBuilder startLine(NodeEvent event, Instant now) {
        StringBuilder line = new StringBuilder(USUAL_LINE_LENGTH);
        line.append("{\"time\":\"").append(now).append('"');
        appendField(line, "node", node);
        appendField(line, "event", event.word());
        return line;
    }

    private static void appendField(StringBuilder line, Object name, Object value) {
        line.append(",\"").append(name).append("\":");
        if (value instanceof Number || value instanceof Boolean) {
            line.append(value);
        } else {
            appendText(line, String.valueOf(value));
        }
    }

    private static void appendText(StringBuilder line, String text) {
        line.append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                line.append('\\').append(c);
            } else {
                line.append(c < ' ' ? ' ' : c);
            }
        }
        line.append('"');
    }

    private void writeAll() {
        long told = 0;
        try {
            while (true) {
                out.println(queue.take());
                long count = dropped.get();
                if (count > told && queue.isEmpty()) {
                    told = count;
                    StringBuilder line = startLine(NodeEvent.LOG_LINES_DROPPED, clock.instant());
                    appendField(line, "total", count);
                    out.println(line.append('}'));
                }
                if (queue.isEmpty()) {
                    out.flush();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
