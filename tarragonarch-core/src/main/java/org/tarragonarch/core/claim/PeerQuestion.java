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
 * @param question the number that the peer gave its question
 */
record PeerQuestion(NodeId peer, long question) {
    /** Sends the peer the answer of an answered key. */
    void sendAnswer(KeyEntry entry, ActionSink sink) {
        PeerAnswer answer = entry.isComplete() ? PeerAnswer.COMPLETE : PeerAnswer.PROBLEM;
        sink.emit(new GivePeerAnswer(
                peer,
                question,
                answer,
                entry.isComplete() ? Optional.of(entry.submissionId()) : Optional.empty(),
                entry.problem()));
    }

    /** Tells the peer that this node has no answer under the key. */
    void sendNoAnswer(ActionSink sink) {
        sink.emit(new GivePeerAnswer(peer, question, PeerAnswer.NOT_TO_BE_HAD, Optional.empty(), Optional.empty()));
    }
}
