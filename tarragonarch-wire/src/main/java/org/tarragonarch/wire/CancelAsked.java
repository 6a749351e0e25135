package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.task.JobId;

/**
 * Asks a peer to cancel a job if it has it.
 *
 * @param job the job
 */
public record CancelAsked(JobId job) implements Frame {
    /** Checks the part. */
    public CancelAsked {
        checkNotNull(job, "job");
    }
}
