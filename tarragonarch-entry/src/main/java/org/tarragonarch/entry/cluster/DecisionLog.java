package org.tarragonarch.entry.cluster;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.tarragonarch.model.log.NodeEvent;

/**
 * A log of one JSON line for each decision, written to a stream by a separate thread.
 *
 * <p>Guards against a blocked reader of standard output: a direct write would block the control thread and with it
 * every request. Lines wait in a bounded queue; when the queue is full, lines are dropped and counted, and the count
 * is logged once the queue is empty.
 */
final class DecisionLog {
    /** About ten seconds of lines at a node's peak load. */
    private static final int MAX_QUEUED_LINES = 2_000;

    /** The length that most lines stay below, in characters. */
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
     * Queues a line, unless the rate limit of its event is reached or the queue is full. Must be called on the control
     * thread.
     *
     * @param fields alternating names and values; values are written as text unless they are numbers or booleans
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
        long reportedDropped = 0;
        try {
            while (true) {
                out.println(queue.take());
                long count = dropped.get();
                if (count > reportedDropped && queue.isEmpty()) {
                    reportedDropped = count;
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
