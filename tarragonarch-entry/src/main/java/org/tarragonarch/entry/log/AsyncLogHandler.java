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
 * Writes log lines on a thread of its own.
 *
 * <p>Whoever reads the log may stop reading, and then a write to its pipe blocks. Were the control thread to write
 * itself, the whole node would block on its log. Here lines that find the queue full are left out,
 * and the next line that fits is followed by one that says how many.
 */
final class AsyncLogHandler extends Handler {
    private final PrintStream out;
    private final BlockingQueue<Line> queue;
    private final AtomicLong dropped = new AtomicLong();

    private AsyncLogHandler(PrintStream out, int capacity) {
        this.out = out;
        this.queue = new ArrayBlockingQueue<>(capacity);
    }

    /** Returns a handler that writes to a stream, and starts its thread. */
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

    /** Waits until what was published before is written, for so long at most; returns whether it is. */
    boolean awaitWritten(Duration bound) {
        CountDownLatch written = new CountDownLatch(1);
        long end = System.nanoTime() + bound.toNanos();
        try {
            return queue.offer(new Line("", written), bound.toNanos(), TimeUnit.NANOSECONDS)
                    && written.await(end - System.nanoTime(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    @Override
    public void flush() {
        // Lines are written by the thread, one by one; a caller that needs them out waits by drain.
    }

    @Override
    public void close() {
        // The thread is a daemon and the stream is the process's own.
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
        long missing = dropped.getAndSet(0);
        if (missing > 0) {
            out.print("event=log-lines-dropped step=lifecycle peer=log dropped=" + missing + "\n");
        }
        out.flush();
        if (line.written != null) {
            line.written.countDown();
        }
    }

    private record Line(String text, CountDownLatch written) {}
}
