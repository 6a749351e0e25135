package org.tarragonarch.entry.cluster;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Structured lines on standard output, one a decision, written by a thread of their own.
 *
 * <p>Guards against a reader of standard output that stops reading: a write would block the control thread and with it
 * every request. Lines wait in a bounded queue; when it is full, whole lines are dropped and counted, and the count is
 * itself a line as soon as there is room.
 */
final class DecisionLog {
    /** Some ten seconds of lines at a node's busiest. */
    private static final int MAX_WAITING = 2_000;

    private static final int BUFFER_BYTES = 16 * 1024;

    private final String node;
    private final PrintStream out;
    private final ArrayBlockingQueue<String> waiting = new ArrayBlockingQueue<>(MAX_WAITING);
    private final AtomicLong dropped = new AtomicLong();

    DecisionLog(String node, PrintStream out) {
        this.node = node;
        this.out = new PrintStream(out, false, StandardCharsets.UTF_8);
    }

    void start() {
        Thread writer = new Thread(this::writeAll, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Writes a line.
     *
     * @param event the kind of event, one stable word
     * @param fields names and values in turn; values are written as text unless they are numbers or booleans
     */
    void line(String event, Object... fields) {
        StringBuilder line = new StringBuilder(BUFFER_BYTES / 64);
        line.append("{\"time\":\"")
                .append(Instant.now())
                .append("\",\"node\":\"")
                .append(node);
        line.append("\",\"event\":\"").append(event).append('"');
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.append(",\"").append(fields[i]).append("\":");
            appendValue(line, fields[i + 1]);
        }
        if (!waiting.offer(line.append('}').toString())) {
            dropped.incrementAndGet();
        }
    }

    long droppedLines() {
        return dropped.get();
    }

    private static void appendValue(StringBuilder line, Object value) {
        if (value instanceof Number || value instanceof Boolean) {
            line.append(value);
            return;
        }
        line.append('"');
        String text = String.valueOf(value);
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
                out.println(waiting.take());
                long count = dropped.get();
                if (count > told && waiting.isEmpty()) {
                    told = count;
                    out.println("{\"node\":\"" + node + "\",\"event\":\"log-lines-dropped\",\"total\":" + count + "}");
                }
                if (waiting.isEmpty()) {
                    out.flush();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
