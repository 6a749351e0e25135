package org.tarragonarch.model.outcome;

/** The outcome of a submission, as stated in its answer. */
public enum Outcome {
    /** Every task succeeded and the answer holds every result. */
    COMPLETE("complete"),
    /** A task certainly failed; the answer has no results. */
    FAILED("failed"),
    /** Nothing was sent to an endpoint, so the submission is safe to send again. */
    NOT_RUN("not-run"),
    /** Some tasks may have run: bytes were sent to an endpoint, and no complete answer was received. */
    UNKNOWN("unknown");

    private final String word;

    Outcome(String word) {
        this.word = word;
    }

    /** Returns the word for this outcome in answers. */
    public String word() {
        return word;
    }
}
