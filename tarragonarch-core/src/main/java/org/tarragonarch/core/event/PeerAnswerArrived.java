package org.tarragonarch.core.event;

import java.util.Optional;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.outcome.Problem;

/**
 * The node that holds a claim gave its answer, or the question came to nothing.
 *
 * @param waiting the submission of this node that waits for the answer
 * @param outcome what the peer's answer is
 * @param problem the peer's problem where its outcome is {@link PeerAnswer#PROBLEM}
 */
public record PeerAnswerArrived(SubmissionId waiting, PeerAnswer outcome, Optional<Problem> problem) implements Event {}
