package org.tarragonarch.entry.log;

import static com.google.common.flogger.LazyArgs.lazy;

import com.google.common.flogger.FluentLogger;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.core.action.Note;

/**
 * Writes the core's notes to the log.
 *
 * <p>In a storm each kind of event gets one line a second; the metrics count every one.
 */
public final class NoteLog {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private NoteLog() {}

    /** Writes one note; does not block on anything but standard error. */
    public static void write(Note note) {
        LOG.atInfo()
                .per(note.event())
                .atMostEvery(1, TimeUnit.SECONDS)
                .log(
                        "%s",
                        lazy(() ->
                                LogLine.of(word(note), note.step(), note.peer()).with(note.fields())));
    }

    /** Returns the word that stands for a note's event in the log and in the metrics. */
    public static String word(Note note) {
        return note.event().name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
