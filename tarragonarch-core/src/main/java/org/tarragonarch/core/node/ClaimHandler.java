package org.tarragonarch.core.node;

import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.claim.IdempotencyKeys;
import org.tarragonarch.core.event.ClaimsRead;
import org.tarragonarch.core.event.ClaimsUncertain;
import org.tarragonarch.core.event.ClaimsWritten;
import org.tarragonarch.core.event.PeerAnswerArrived;
import org.tarragonarch.core.event.PeerAnswerAsked;
import org.tarragonarch.core.submission.SubmissionTable;

/** Handles the replies of the table service to claims, and the answers that nodes request from one another. */
final class ClaimHandler {
    private final IdempotencyKeys keys;
    private final SubmissionTable submissions;

    ClaimHandler(NodeParts parts) {
        this.keys = parts.keys;
        this.submissions = parts.submissions;
    }

    void register(EventHandlers handlers) {
        handlers.register(
                ClaimsWritten.class,
                (written, nowNanos, sink) -> keys.claimsSettled(written.batch(), written.results(), nowNanos, sink));
        handlers.register(
                ClaimsRead.class,
                (read, nowNanos, sink) -> keys.claimsSettled(read.batch(), read.results(), nowNanos, sink));
        handlers.register(
                ClaimsUncertain.class,
                (uncertain, nowNanos, sink) ->
                        keys.claimsUncertain(uncertain.batch(), uncertain.mayHaveApplied(), nowNanos, sink));
        handlers.register(PeerAnswerAsked.class, (asked, nowNanos, sink) -> keys.peerAnswerAsked(asked, sink));
        handlers.register(PeerAnswerArrived.class, this::peerAnswered);
    }

    private void peerAnswered(PeerAnswerArrived arrived, long nowNanos, ActionSink sink) {
        submissions
                .find(arrived.waiting())
                .ifPresent(waiting -> keys.peerAnswerArrived(waiting, arrived, nowNanos, sink));
    }
}
