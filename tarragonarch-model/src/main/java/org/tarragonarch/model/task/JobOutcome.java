package org.tarragonarch.model.task;

/** The outcome of a job. */
public enum JobOutcome {
    /** Every task succeeded. */
    DONE(true),
    /** As many runs of a task have failed as its queue allows. */
    FAILED(true),
    /** The client cancelled the job. */
    CANCELLED(true),
    /** The job was refused; no task ran, and none will. */
    REFUSED(false),
    /** The job was given up; some of its tasks may have run, and their runs are stopped. */
    GIVEN_UP(false);

    private final boolean isFinal;

    JobOutcome(boolean isFinal) {
        this.isFinal = isFinal;
    }

    /** Returns whether a later request for the same job gets the same answer. */
    public boolean isFinal() {
        return isFinal;
    }
}
