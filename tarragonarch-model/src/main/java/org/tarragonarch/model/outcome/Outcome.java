package org.tarragonarch.model.outcome;

/** What became of a submission, as its one answer says. */
public enum Outcome {
    /** Every task succeeded and the answer holds every result. */
    COMPLETE("complete"),
    /** A task certainly failed; no result is given. */
    FAILED("failed"),
    /** Nothing left this node towards an endpoint, so the submission is safe to send again. */
    NOT_RUN("not-run"),
    /** Some of it may have run: bytes left towards an endpoint and no whole answer came back. */
    UNKNOWN("unknown");

    private final String word;

    Outcome(String word) {
        this.word = word;
    }

    /** Returns the word that stands for this in answers. */
    public String word() {
        return word;
    }
}
