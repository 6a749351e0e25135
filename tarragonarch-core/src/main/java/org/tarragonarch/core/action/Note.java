package org.tarragonarch.core.action;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import org.tarragonarch.model.outcome.Step;

/**
 * Something worth a line in the log and a count in the metrics.
 *
 * @param event what happened
 * @param step the step at which it happened
 * @param peer the endpoint, node or platform part it happened with
 * @param fields further facts by name
 */
public record Note(NoteEvent event, Step step, String peer, ImmutableMap<String, String> fields) implements Action {
    /** Checks the parts. */
    public Note {
        checkNotNull(event, "event");
        checkNotNull(step, "step");
        checkNotNull(peer, "peer");
        checkNotNull(fields, "fields");
    }

    /** Returns a note without further facts. */
    public static Note of(NoteEvent event, Step step, String peer) {
        return new Note(event, step, peer, ImmutableMap.of());
    }

    /** Returns a note with one further fact. */
    public static Note of(NoteEvent event, Step step, String peer, String name, Object value) {
        return new Note(event, step, peer, ImmutableMap.of(name, String.valueOf(value)));
    }
}
