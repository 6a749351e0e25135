package org.tarragonarch.entry.log;

import static com.google.common.flogger.LazyArgs.lazy;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LogPerBucketingStrategy;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;

/**
 * Logs the notes of the core, with a rate limit.
 *
 * <p>Each pair of event and peer has one line a second, and hashing the pairs into buckets bounds the total rate.
 * Without the peer in the key, the second endpoint to leave within one second would not be logged. A line is built only
 * if it is written, so a note that the limit drops costs next to nothing. The metrics count every note.
 */
public final class NoteLog {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final int BUCKETS = 64;
    private static final LogPerBucketingStrategy<Object> PER_EVENT_AND_PEER =
            LogPerBucketingStrategy.byHashCode(BUCKETS);

    private NoteLog() {}

    /** Logs one note at level info, unless the rate limit drops it. */
    public static void write(Note note) {
        LOG.atInfo()
                .per(note.event() + " " + note.peer(), PER_EVENT_AND_PEER)
                .atMostEvery(1, TimeUnit.SECONDS)
                .log(
                        "%s",
                        lazy(() -> LogLine.of(word(note.event()), note.step(), note.peer())
                                .with(note.fields())));
    }

    /** Returns the name of an event in the log and the metrics. */
    public static String word(NoteEvent event) {
        return event.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
