package org.tarragonarch.core.action;

import java.util.Optional;
import org.tarragonarch.core.event.PeerAnswer;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.outcome.Problem;

/**
 * Send a peer the answer that it asked for.
 *
 * @param peer the asking node
 * @param question the number that the peer gave its question
 * @param answer the kind of answer
 * @param submission the submission whose results are sent, if the answer is complete
 * @param problem the problem, if the answer is one
 */
public record GivePeerAnswer(
        NodeId peer, long question, PeerAnswer answer, Optional<SubmissionId> submission, Optional<Problem> problem)
        implements Action {}
