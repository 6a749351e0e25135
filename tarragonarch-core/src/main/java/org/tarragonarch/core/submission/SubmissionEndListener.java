package org.tarragonarch.core.submission;

import java.util.Optional;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.model.outcome.Problem;

/** Notified of every submission that has ended, after its caller was answered. */
@FunctionalInterface
public interface SubmissionEndListener {
    /**
     * Records an end.
     *
     * @param submission the submission
     * @param problem why it has no results; empty if it is complete
     * @param nowNanos when it ended
     * @param sink takes the actions that follow
     */
    void submissionEnded(Submission submission, Optional<Problem> problem, long nowNanos, ActionSink sink);
}
