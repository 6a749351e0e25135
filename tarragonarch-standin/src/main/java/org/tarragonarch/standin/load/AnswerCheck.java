package org.tarragonarch.standin.load;

import java.util.Optional;

/**
 * The result of checking an answer.
 *
 * @param outcome the outcome's word; {@code wrong} if the answer is not valid
 * @param error why the answer is not valid for its submission; empty if it is valid
 */
record AnswerCheck(String outcome, Optional<String> error) {
    static final String NO_ANSWER = "no-answer";
    private static final String WRONG = "wrong";

    static AnswerCheck valid(String outcome) {
        return new AnswerCheck(outcome, Optional.empty());
    }

    static AnswerCheck error(String detail) {
        return new AnswerCheck(WRONG, Optional.of(detail));
    }
}
