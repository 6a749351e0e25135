package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.tarragonarch.model.outcome.Problem;

/**
 * The response to an {@link AnswerAsked}.
 *
 * @param question the request number of the {@link AnswerAsked}
 * @param outcome whether there is an answer, and of which form
 * @param problem the problem; present if and only if the outcome is {@link AnswerOutcome#PROBLEM}
 * @param results the JSON results; present if and only if the outcome is {@link AnswerOutcome#COMPLETE}
 */
public record AnswerGiven(long question, AnswerOutcome outcome, Optional<Problem> problem, Optional<Payload> results)
        implements Frame {
    /** Checks that the problem and the results match the outcome. */
    public AnswerGiven {
        checkArgument(question >= 0, "question %s is negative", question);
        checkNotNull(outcome, "outcome");
        checkArgument(
                problem.isPresent() == (outcome == AnswerOutcome.PROBLEM),
                "outcome %s, but problem present: %s",
                outcome,
                problem.isPresent());
        checkArgument(
                results.isPresent() == (outcome == AnswerOutcome.COMPLETE),
                "outcome %s, but results present: %s",
                outcome,
                results.isPresent());
    }

    /** Returns a response with the complete results. */
    public static AnswerGiven complete(long question, Payload results) {
        return new AnswerGiven(question, AnswerOutcome.COMPLETE, Optional.empty(), Optional.of(results));
    }

    /** Returns a response with the problem that the caller was answered with. */
    public static AnswerGiven problem(long question, Problem problem) {
        return new AnswerGiven(question, AnswerOutcome.PROBLEM, Optional.of(problem), Optional.empty());
    }

    /** Returns a response that states that the node has no answer for the key. */
    public static AnswerGiven unavailable(long question) {
        return new AnswerGiven(question, AnswerOutcome.NOT_TO_BE_HAD, Optional.empty(), Optional.empty());
    }
}
