package org.tarragonarch.model.task;

/** What became of a job. */
public enum JobOutcome {
    /** Every task has ended well. */
    DONE(true),
    /** A task failed as often as its queue allows. */
    FAILED(true),
    /** Its client cancelled it. */
    CANCELLED(true),
    /** Nothing of it ran, and nothing of it will. */
    REFUSED(false),
    /** Given up; some of it may have run, and is stopped. */
    GIVEN_UP(false);

    private final boolean isFinal;

    JobOutcome(boolean lasting) {
        this.isFinal = lasting;
    }

    /** Returns whether a later request for the same job gets the same answer. */
    public boolean isFinal() {
        return isFinal;
    }
}
