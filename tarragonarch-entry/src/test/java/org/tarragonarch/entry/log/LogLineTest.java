package org.tarragonarch.entry.log;

import static org.testng.Assert.assertEquals;

import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.tarragonarch.model.outcome.Step;
import org.testng.annotations.Test;

public final class LogLineTest {
    private static final String HEAD = "time=2026-12-02T20:00:00Z level=info node=hobart-1 ";

    // Text of a caller that contains a line break must not forge a log line.
    @Test
    public void testToString_forgedLine() {
        String line = LogLine.of("refused", Step.READ, "caller")
                .with("detail", "a \"b\"\nevent=started")
                .toString();
        assertEquals(line, "event=refused step=read peer=caller detail=\"a \\\"b\\\"\\nevent=started\"");
    }

    @Test
    public void testFormat_ownLine() {
        assertEquals(format("event=x step=read peer=p"), HEAD + "event=x step=read peer=p\n");
    }

    @Test
    public void testFormat_rateLimited() {
        String context = " [CONTEXT group_by=\"X\" ratelimit_period=\"1 SECONDS [skipped: 41]\" ]";
        assertEquals(format("event=x step=read peer=p" + context), HEAD + "event=x step=read peer=p skipped=41\n");
    }

    @Test
    public void testFormat_bareEventAndLibrary() {
        assertEquals(format("peer-closed step=peer peer=p"), HEAD + "event=peer-closed step=peer peer=p\n");
        assertEquals(
                format("Hello there"),
                HEAD + "event=library-message step=lifecycle peer=lib message=\"Hello there\"\n");
    }

    private static String format(String message) {
        LogRecord record = new LogRecord(Level.INFO, message);
        record.setLoggerName("lib");
        record.setInstant(Instant.parse("2026-12-02T20:00:00Z"));
        return new LineFormatter("hobart-1").format(record);
    }
}
