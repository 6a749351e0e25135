package org.tarragonarch.core.endpoint;

import com.google.common.collect.ImmutableMap;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.Note;
import org.tarragonarch.core.action.NoteEvent;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.outcome.Step;

/** Log entries of what becomes of endpoints. */
final class EndpointNotes {
    private EndpointNotes() {}

    static void emit(NoteEvent event, EndpointId endpoint, String why, ActionSink sink) {
        sink.emit(new Note(event, Step.SEND, endpoint.value(), ImmutableMap.of("why", why)));
    }
}
