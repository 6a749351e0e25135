package org.tarragonarch.entry.log;

import static com.google.common.flogger.LazyArgs.lazy;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LogPerBucketingStrategy;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;

/**
 * Writes the core's notes to the log.
 *
 * <p>In a storm each kind of event gets one line a second for each peer, and no more than so many lines in all;
 * the metrics count every one. Were the peers not distinguished, the second endpoint to leave within a second would go
 * unmentioned.
 */
public final class NoteLog {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final int BUCKETS = 64;
    private static final LogPerBucketingStrategy<Object> PER_EVENT_AND_PEER =
            LogPerBucketingStrategy.byHashCode(BUCKETS);

    private NoteLog() {}

    /** Writes one note; does not block on anything but standard error. */
    public static void write(Note note) {
        LOG.atInfo()
                .per(note.event() + " " + note.peer(), PER_EVENT_AND_PEER)
                .atMostEvery(1, TimeUnit.SECONDS)
                .log(
                        "%s",
                        lazy(() -> LogLine.of(word(note.event()), note.step(), note.peer())
                                .with(note.fields())));
    }

    /** Returns the word that stands for a note's event in the log and in the metrics. */
    public static String word(NoteEvent event) {
        return event.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
