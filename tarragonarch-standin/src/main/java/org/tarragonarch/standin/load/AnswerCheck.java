package org.tarragonarch.standin.load;

import java.util.Optional;

/**
 * What an answer says, and what is wrong with it if anything is.
 *
 * @param outcome the outcome's word, or {@code no-answer}
 * @param error why the answer is not one to this submission; empty if it is sound
 */
record AnswerCheck(String outcome, Optional<String> error) {
    static final String NO_ANSWER = "no-answer";
    private static final String WRONG = "wrong";

    static AnswerCheck valid(String outcome) {
        return new AnswerCheck(outcome, Optional.empty());
    }

    static AnswerCheck error(String why) {
        return new AnswerCheck(WRONG, Optional.of(why));
    }
}
