package org.tarragonarch.entry.trace;

import com.google.common.flogger.FluentLogger;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.core.event.Event;
import org.tarragonarch.entry.control.EventRecorder;
import org.tarragonarch.entry.log.LogLine;
import org.tarragonarch.model.outcome.Step;

/**
 * Records every event of a node in a file, on a separate thread.
 *
 * <p>The control thread never waits for the file. A trace with a gap could not be replayed, so the trace ends, with a
 * log line, when the queue is full or a write fails.
 */
public final class TraceWriter implements EventRecorder, AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int MAX_QUEUED_EVENTS = 100_000;
    private static final long POLL_MILLIS = 100;
    private static final long CLOSE_TIMEOUT_MILLIS = 5_000;

    private final Path file;
    private final BufferedWriter writer;
    private final BlockingQueue<TraceLine> queue = new ArrayBlockingQueue<>(MAX_QUEUED_EVENTS);
    private final Thread thread = new Thread(this::run, "trace");
    private volatile boolean ended;
    private volatile boolean closing;

    private TraceWriter(Path file, BufferedWriter writer) {
        this.file = file;
        this.writer = writer;
        thread.setDaemon(true);
    }

    /**
     * Creates the file and starts the writer thread.
     *
     * @param file the file, which is overwritten
     * @param header the first line
     * @throws IOException if the file cannot be written
     */
    public static TraceWriter start(Path file, TraceHeader header) throws IOException {
        BufferedWriter writer = Files.newBufferedWriter(file, StandardCharsets.UTF_8);
        writer.write(TraceJson.write(header));
        writer.newLine();
        writer.flush();
        TraceWriter trace = new TraceWriter(file, writer);
        trace.thread.start();
        return trace;
    }

    @Override
    public void record(long nowNanos, Event event) {
        if (!ended && !queue.offer(new TraceLine(nowNanos, event))) {
            end("events arrive faster than the file is written");
        }
    }

    /** Writes the queued events and closes the file; waits up to five seconds. */
    @Override
    public void close() {
        closing = true;
        try {
            thread.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        try (writer) {
            while (true) {
                TraceLine line = queue.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
                if (line != null) {
                    writer.write(TraceJson.write(line));
                    writer.newLine();
                } else if (closing || ended) {
                    return;
                } else {
                    writer.flush();
                }
            }
        } catch (IOException e) {
            end(e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void end(String reason) {
        ended = true;
        LOG.atWarning().log(
                "%s", LogLine.of("trace-ended", Step.LIFECYCLE, file.toString()).with("reason", reason));
    }
}
