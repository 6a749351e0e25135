package org.tarragonarch.core.event;

import java.util.Optional;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.outcome.Problem;

/**
 * The node that holds a claim sent its answer, or could not be asked.
 *
 * @param waiting the submission of this node that waits for the answer
 * @param outcome the kind of answer
 * @param problem the problem if the outcome is {@link PeerAnswer#PROBLEM}; empty otherwise
 */
public record PeerAnswerArrived(SubmissionId waiting, PeerAnswer outcome, Optional<Problem> problem) implements Event {}
