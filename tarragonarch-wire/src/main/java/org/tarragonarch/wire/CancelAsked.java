package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.task.JobId;

/**
 * Asks a peer to cancel a job, if the peer has the job.
 *
 * @param job the job
 */
public record CancelAsked(JobId job) implements Frame {
    /** Checks that the job is not null. */
    public CancelAsked {
        checkNotNull(job, "job");
    }
}
