package org.tarragonarch.model.task;

/** The known progress of a job. */
public enum JobProgress {
    /** No task was sent to an endpoint yet. */
    QUEUED,
    /** The job was offered to a holder; its tasks may have started. */
    RUNNING,
    /** Every task succeeded. */
    DONE,
    /** A task used up the attempts that its queue allows. */
    FAILED,
    /** The client cancelled the job. */
    CANCELLED
}
