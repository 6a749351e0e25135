package org.tarragonarch.standin.scenario;

import java.util.Optional;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.outcome.Problem;

/**
 * A submission and its answer.
 *
 * @param id its id
 * @param sentNanos when it was sent, from the start of the scenario or trace
 * @param outcome the word of the outcome; {@code none} if there is no answer
 * @param problem why there are no results, where that was the answer
 * @param answeredNanos when it was answered
 */
public record ObservedSubmission(
        SubmissionId id, long sentNanos, String outcome, Optional<Problem> problem, long answeredNanos) {
    /** Returns the word of the problem's code, or nothing to read if there is no problem. */
    String code() {
        return problem.map(why -> why.code().word()).orElse("");
    }

    @Override
    public String toString() {
        return id + " is " + outcome
                + problem.map(why -> " with " + why.code().word() + ": " + why.detail())
                        .orElse("");
    }
}
