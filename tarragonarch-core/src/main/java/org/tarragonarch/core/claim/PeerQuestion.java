package org.tarragonarch.core.claim;

import java.util.Optional;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.GivePeerAnswer;
import org.tarragonarch.core.event.PeerAnswer;
import org.tarragonarch.model.id.NodeId;

/**
 * A peer's question for the answer under a key.
 *
 * @param peer the asking node
 * @param question the peer's number for it
 */
record PeerQuestion(NodeId peer, long question) {
    /** Gives the peer the answer of a key that has one. */
    void sendAnswer(KeyEntry entry, ActionSink sink) {
        PeerAnswer answer = entry.isComplete() ? PeerAnswer.COMPLETE : PeerAnswer.PROBLEM;
        sink.emit(new GivePeerAnswer(
                peer,
                question,
                answer,
                entry.isComplete() ? Optional.of(entry.submissionId()) : Optional.empty(),
                entry.problem()));
    }

    /** Says that there is no answer. */
    void sendNoAnswer(ActionSink sink) {
        sink.emit(new GivePeerAnswer(peer, question, PeerAnswer.NOT_TO_BE_HAD, Optional.empty(), Optional.empty()));
    }
}
