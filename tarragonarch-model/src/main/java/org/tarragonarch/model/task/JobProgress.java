package org.tarragonarch.model.task;

/** How far a job is known to have got. */
public enum JobProgress {
    /** No task of it was handed to an endpoint. */
    QUEUED,
    /** It was handed on. */
    RUNNING,
    /** Every task has ended well. */
    DONE,
    /** A task failed as often as its queue allows. */
    FAILED,
    /** Its client cancelled it. */
    CANCELLED
}
