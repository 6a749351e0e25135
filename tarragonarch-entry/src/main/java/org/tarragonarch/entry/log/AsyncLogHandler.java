package org.tarragonarch.entry.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * A log handler that writes on a separate thread.
 *
 * <p>A write to the log blocks when its reader stops reading the pipe, and must not block the control thread with it.
 * Lines that arrive while the queue is full are dropped; a line with their number follows the next line written.
 */
final class AsyncLogHandler extends Handler {
    private final PrintStream out;
    private final BlockingQueue<Line> queue;
    private final AtomicLong dropped = new AtomicLong();

    private AsyncLogHandler(PrintStream out, int capacity) {
        this.out = out;
        this.queue = new ArrayBlockingQueue<>(capacity);
    }

    /** Creates a handler that writes to {@code out}, and starts its thread. */
    static AsyncLogHandler start(PrintStream out, Formatter formatter, int capacity) {
        AsyncLogHandler handler = new AsyncLogHandler(out, capacity);
        handler.setFormatter(formatter);
        Thread thread = new Thread(handler::run, "log");
        thread.setDaemon(true);
        thread.start();
        return handler;
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        if (!queue.offer(new Line(getFormatter().format(record), null))) {
            dropped.incrementAndGet();
        }
    }

    /** Waits until all lines published before are written or the timeout passes; returns whether they are written. */
    boolean awaitWritten(Duration timeout) {
        CountDownLatch written = new CountDownLatch(1);
        long end = System.nanoTime() + timeout.toNanos();
        try {
            return queue.offer(new Line("", written), timeout.toNanos(), TimeUnit.NANOSECONDS)
                    && written.await(end - System.nanoTime(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    @Override
    public void flush() {
        // The thread flushes after each line; see awaitWritten.
    }

    @Override
    public void close() {
        // The thread is a daemon thread, and the stream belongs to the process.
    }

    private void run() {
        try {
            while (true) {
                write(queue.take());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(Line line) {
        byte[] bytes = line.text.getBytes(StandardCharsets.UTF_8);
        out.write(bytes, 0, bytes.length);
        long droppedLines = dropped.getAndSet(0);
        if (droppedLines > 0) {
            out.print("event=log-lines-dropped step=lifecycle peer=log dropped=" + droppedLines + "\n");
        }
        out.flush();
        if (line.written != null) {
            line.written.countDown();
        }
    }

    private record Line(String text, CountDownLatch written) {}
}
