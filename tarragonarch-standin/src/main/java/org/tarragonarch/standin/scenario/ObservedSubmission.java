package org.tarragonarch.standin.scenario;

import java.util.Optional;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.outcome.Problem;

/**
 * A submission and its answer, if there is one.
 *
 * @param id its id
 * @param sentNanos when it was sent, in nanoseconds since the start of the scenario or trace
 * @param outcome the outcome's word; {@code none} if there is no answer
 * @param problem the problem, if the answer was one
 * @param answeredNanos when it was answered, on the same time scale
 */
public record ObservedSubmission(
        SubmissionId id, long sentNanos, String outcome, Optional<Problem> problem, long answeredNanos) {
    /** Returns the word of the problem's code, or an empty string if there is no problem. */
    String code() {
        return problem.map(cause -> cause.code().word()).orElse("");
    }

    @Override
    public String toString() {
        return id + " is " + outcome
                + problem.map(cause -> " with " + cause.code().word() + ": " + cause.detail())
                        .orElse("");
    }
}
