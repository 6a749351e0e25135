package org.tarragonarch.entry.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.testng.annotations.Test;

public final class AsyncLogHandlerTest {
    private static final Duration BOUND = Duration.ofSeconds(10);
    private static final Formatter PLAIN = new Formatter() {
        @Override
        public String format(LogRecord record) {
            return record.getMessage() + "\n";
        }
    };

    @Test
    public void testPublish_inOrder() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        AsyncLogHandler handler = AsyncLogHandler.start(new PrintStream(out), PLAIN, 100);
        for (int i = 0; i < 10; i++) {
            handler.publish(new LogRecord(Level.INFO, "line " + i));
        }
        assertTrue(handler.awaitWritten(BOUND));
        assertEquals(out.toString(StandardCharsets.UTF_8).lines().toList().get(9), "line 9");
    }

    // The reader of the log hangs, so writes to the pipe block. Threads that log must not block with them, and the log
    // must later report the number of dropped lines.
    @Test
    public void testPublish_readerHangs() {
        CountDownLatch reading = new CountDownLatch(1);
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        OutputStream pipe = new OutputStream() {
            @Override
            public void write(int b) {
                awaitQuietly(reading);
                read.write(b);
            }
        };
        AsyncLogHandler handler = AsyncLogHandler.start(new PrintStream(pipe), PLAIN, 10);
        for (int i = 0; i < 1_000; i++) {
            handler.publish(new LogRecord(Level.INFO, "line " + i));
        }
        reading.countDown();
        assertTrue(handler.awaitWritten(BOUND));
        String text = read.toString(StandardCharsets.UTF_8);
        assertTrue(text.startsWith("line 0\n"), text);
        long written = text.lines().filter(line -> line.startsWith("line ")).count();
        assertTrue(text.contains("event=log-lines-dropped step=lifecycle peer=log dropped=" + (1_000 - written)), text);
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
