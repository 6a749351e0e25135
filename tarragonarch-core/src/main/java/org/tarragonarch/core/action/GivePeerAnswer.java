package org.tarragonarch.core.action;

import java.util.Optional;
import org.tarragonarch.core.event.PeerAnswer;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.outcome.Problem;

/**
 * Give a peer the answer that it asked for.
 *
 * @param peer the asking node
 * @param question the peer's number for its question
 * @param answer what the answer is
 * @param submission the submission whose results are given, where the answer is complete
 * @param problem the problem, where the answer is one
 */
public record GivePeerAnswer(
        NodeId peer, long question, PeerAnswer answer, Optional<SubmissionId> submission, Optional<Problem> problem)
        implements Action {}
