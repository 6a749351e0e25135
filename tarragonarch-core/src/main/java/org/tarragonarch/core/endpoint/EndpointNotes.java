package org.tarragonarch.core.endpoint;

import com.google.common.collect.ImmutableMap;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.outcome.Step;

/** Emits notes about endpoints. */
final class EndpointNotes {
    private EndpointNotes() {}

    static void emit(NoteEvent event, EndpointId endpoint, String reason, ActionSink sink) {
        sink.emit(new Note(event, Step.SEND, endpoint.value(), ImmutableMap.of("why", reason)));
    }
}
