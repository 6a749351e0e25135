package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.tarragonarch.model.outcome.Problem;

/**
 * Answers an {@link AnswerAsked}.
 *
 * @param question the asking node's number for its question
 * @param outcome what the answer is
 * @param problem the problem, exactly where the outcome is {@link AnswerOutcome#PROBLEM}
 * @param results the JSON results, exactly where the outcome is {@link AnswerOutcome#COMPLETE}
 */
public record AnswerGiven(long question, AnswerOutcome outcome, Optional<Problem> problem, Optional<Payload> results)
        implements Frame {
    /** Checks the parts. */
    public AnswerGiven {
        checkArgument(question >= 0, "question %s is negative", question);
        checkNotNull(outcome, "outcome");
        checkArgument(
                problem.isPresent() == (outcome == AnswerOutcome.PROBLEM),
                "an answer that is %s has a problem: %s",
                outcome,
                problem.isPresent());
        checkArgument(
                results.isPresent() == (outcome == AnswerOutcome.COMPLETE),
                "an answer that is %s has results: %s",
                outcome,
                results.isPresent());
    }

    /** Returns an answer with whole results. */
    public static AnswerGiven complete(long question, Payload results) {
        return new AnswerGiven(question, AnswerOutcome.COMPLETE, Optional.empty(), Optional.of(results));
    }

    /** Returns an answer that is a problem. */
    public static AnswerGiven problem(long question, Problem problem) {
        return new AnswerGiven(question, AnswerOutcome.PROBLEM, Optional.of(problem), Optional.empty());
    }

    /** Returns that there is no answer. */
    public static AnswerGiven unavailable(long question) {
        return new AnswerGiven(question, AnswerOutcome.NOT_TO_BE_HAD, Optional.empty(), Optional.empty());
    }
}
