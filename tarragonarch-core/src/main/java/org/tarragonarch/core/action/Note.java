package org.tarragonarch.core.action;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import org.tarragonarch.model.outcome.Step;

/**
 * Write an event to the log and count it in the metrics.
 *
 * @param event the event
 * @param step the step at which it occurred
 * @param peer the endpoint, node or platform part involved
 * @param fields additional log fields by name
 */
public record Note(NoteEvent event, Step step, String peer, ImmutableMap<String, String> fields) implements Action {
    /** Creates a note. */
    public Note {
        checkNotNull(event, "event");
        checkNotNull(step, "step");
        checkNotNull(peer, "peer");
        checkNotNull(fields, "fields");
    }

    /** Returns a note without additional fields. */
    public static Note of(NoteEvent event, Step step, String peer) {
        return new Note(event, step, peer, ImmutableMap.of());
    }

    /** Returns a note with one additional field. */
    public static Note of(NoteEvent event, Step step, String peer, String name, Object value) {
        return new Note(event, step, peer, ImmutableMap.of(name, String.valueOf(value)));
    }
}
