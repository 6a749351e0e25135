package org.tarragonarch.entry.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.model.log.NodeEvent;
import org.testng.annotations.Test;

public final class DecisionLogTest {
    private static final Instant NOON = Instant.parse("2026-05-04T12:00:00Z");

    @Test
    public void testWrite_oneJsonObject() throws InterruptedException {
        Lines lines = new Lines(1);
        DecisionLog log = new DecisionLog("hobart-1", lines.print(), Clock.fixed(NOON, ZoneOffset.UTC));
        log.start();
        log.write(NodeEvent.PEER_LOST, "peer", "a\"b\nc", "after-ms", 700, "known", true);
        assertEquals(
                lines.await(),
                List.of("{\"time\":\"2026-05-04T12:00:00Z\",\"node\":\"hobart-1\",\"event\":\"peer-lost\","
                        + "\"peer\":\"a\\\"b c\",\"after-ms\":700,\"known\":true}"));
    }

    /** Guards against requests that block on a full log pipe, and against dropped lines that are not counted. */
    @Test
    public void testWrite_readerBlocked() throws InterruptedException {
        Lines lines = new Lines(2_002);
        DecisionLog log = new DecisionLog("hobart-1", lines.print(), new TestClock(Duration.ofMillis(10)));
        CountDownLatch blocked = lines.block();
        log.start();
        log.write(NodeEvent.JOB_ANSWERED, "job", 0);
        lines.awaitBlockedWriter();
        for (int i = 1; i < 3_000; i++) {
            log.write(NodeEvent.JOB_ANSWERED, "job", i);
        }
        assertTrue(log.droppedLines() >= 900, "dropped " + log.droppedLines());
        blocked.countDown();
        List<String> written = lines.await();
        assertTrue(written.stream().anyMatch(line -> line.contains("\"log-lines-dropped\"")), written.toString());
    }

    /** Guards against log lines of thousands of refusals a second that take the processor time needed for answers. */
    @Test
    public void testWrite_rateLimited() throws InterruptedException {
        Lines lines = new Lines(202);
        TestClock clock = new TestClock(Duration.ZERO);
        DecisionLog log = new DecisionLog("hobart-1", lines.print(), clock);
        log.start();
        for (int i = 0; i < 5_000; i++) {
            log.write(NodeEvent.JOB_DECLINED, "job", i);
        }
        log.write(NodeEvent.PEER_LOST, "peer", "devonport-1");
        clock.advance(Duration.ofSeconds(1));
        log.write(NodeEvent.JOB_DECLINED, "job", 5_000);
        List<String> written = lines.await();
        assertTrue(written.get(200).contains("peer-lost"), written.get(200));
        assertTrue(written.get(201).endsWith(",\"skipped-before\":4800}"), written.get(201));
    }

    /** Guards against a log that stays silent after the time of day steps back, until it catches up. */
    @Test
    public void testWrite_clockStepsBack() throws InterruptedException {
        Lines lines = new Lines(202);
        TestClock clock = new TestClock(Duration.ZERO);
        DecisionLog log = new DecisionLog("hobart-1", lines.print(), clock);
        log.start();
        log.write(NodeEvent.PEER_LOST, "peer", "a");
        clock.advance(Duration.ofMinutes(-5));
        for (int i = 0; i < 201; i++) {
            log.write(NodeEvent.PEER_LOST, "peer", "b");
        }
        clock.advance(Duration.ofMinutes(-5));
        log.write(NodeEvent.PEER_LOST, "peer", "c");
        assertTrue(lines.await().get(201).contains("\"peer\":\"c\""));
        assertEquals(log.droppedLines(), 0);
    }

    /** A stream that collects lines and can block its writer. */
    private static final class Lines extends OutputStream {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private final CountDownLatch wanted;
        private final CountDownLatch begun = new CountDownLatch(1);
        private CountDownLatch gate = new CountDownLatch(0);

        Lines(int wanted) {
            this.wanted = new CountDownLatch(wanted);
        }

        PrintStream print() {
            return new PrintStream(this, true, StandardCharsets.UTF_8);
        }

        CountDownLatch block() {
            gate = new CountDownLatch(1);
            return gate;
        }

        /** Waits until the writer has taken its first line from the queue. */
        void awaitBlockedWriter() throws InterruptedException {
            assertTrue(begun.await(10, TimeUnit.SECONDS), "nothing written");
        }

        List<String> await() throws InterruptedException {
            assertTrue(wanted.await(10, TimeUnit.SECONDS), "missing lines: " + wanted.getCount());
            synchronized (this) {
                return bytes.toString(StandardCharsets.UTF_8).lines().toList();
            }
        }

        @Override
        public void write(int b) throws IOException {
            begun.countDown();
            try {
                gate.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            synchronized (this) {
                bytes.write(b);
            }
            if (b == '\n') {
                wanted.countDown();
            }
        }
    }

    /** A settable clock that advances by a fixed step at each reading. */
    private static final class TestClock extends Clock {
        private final Duration step;
        private Instant now = NOON;

        TestClock(Duration step) {
            this.step = step;
        }

        void advance(Duration time) {
            now = now.plus(time);
        }

        @Override
        public ZoneOffset getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            throw new UnsupportedOperationException();
        }

        @Override
        public synchronized Instant instant() {
            advance(step);
            return now;
        }
    }
}
