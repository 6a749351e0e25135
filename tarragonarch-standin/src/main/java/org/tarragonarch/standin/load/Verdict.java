package org.tarragonarch.standin.load;

import java.util.Optional;

/**
 * What an answer says, and what is wrong with it if anything is.
 *
 * @param outcome the outcome's word, or {@code no-answer}
 * @param wrong why the answer is not one to this submission; empty if it is sound
 */
record Verdict(String outcome, Optional<String> wrong) {
    static final String NO_ANSWER = "no-answer";
    private static final String WRONG = "wrong";

    static Verdict sound(String outcome) {
        return new Verdict(outcome, Optional.empty());
    }

    static Verdict wrong(String why) {
        return new Verdict(WRONG, Optional.of(why));
    }
}
