package org.tarragonarch.core.submission;

import java.util.Optional;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.model.outcome.Problem;

/** Listens for the end of submissions. */
@FunctionalInterface
public interface SubmissionEndListener {
    /**
     * Called once for each submission that ends, after the action that answers its caller.
     *
     * @param submission the submission that ended
     * @param problem why there are no results; empty if the submission is complete
     * @param nowNanos the time of the end
     * @param sink takes the actions that follow from the end
     */
    void submissionEnded(Submission submission, Optional<Problem> problem, long nowNanos, ActionSink sink);
}
