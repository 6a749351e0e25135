package org.tarragonarch.entry.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.model.outcome.Step;
import org.testng.annotations.Test;

/** Tests the event names and keys of notes in the log and the metrics. */
public final class OuterNamesTest {
    private static final ImmutableSet<String> WORDS = ImmutableSet.of(
            "late-answer-dropped",
            "send-refused",
            "task-retried",
            "retry-budget-empty",
            "endpoint-quarantined",
            "endpoint-readmitted",
            "endpoint-leaving",
            "endpoint-appeared",
            "endpoint-gone",
            "peer-alive",
            "peer-silent",
            "stale-report-dropped",
            "report-gap",
            "old-configuration-refused",
            "platform-read-failed",
            "claim-reply-lost",
            "claim-lost",
            "slept-past-lease",
            "drain-cut-short");

    /** Guards against a renamed constant that changes an event name in the log. */
    @Test
    public void testWord_matchesLog() {
        assertEquals(
                Arrays.stream(NoteEvent.values()).map(NoteLog::word).collect(ImmutableSet.toImmutableSet()), WORDS);
        assertEquals(NoteEvent.values().length, WORDS.size());
    }

    /** Guards against changed keys in the log line of a note. */
    @Test
    public void testWrite_keys() {
        Logger logger = Logger.getLogger(NoteLog.class.getName());
        RecordedLines recorded = new RecordedLines();
        logger.addHandler(recorded);
        try {
            NoteLog.write(Note.of(NoteEvent.ENDPOINT_GONE, Step.PLATFORM, "outer-names-w1", "reason", "list"));
        } finally {
            logger.removeHandler(recorded);
        }
        assertEquals(recorded.lines.size(), 1);
        String line = recorded.lines.get(0).strip();
        assertTrue(
                line.endsWith(" level=info node=n event=endpoint-gone step=platform peer=outer-names-w1 reason=list"),
                line);
    }

    private static final class RecordedLines extends Handler {
        private final List<String> lines = new ArrayList<>();

        @Override
        public void publish(LogRecord record) {
            lines.add(new LineFormatter("n").format(record));
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }
}
