package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.task.JobId;

/**
 * Answers a {@link CancelAsked}.
 *
 * @param job the job
 * @param known whether the peer had it, and has cancelled it
 */
public record CancelAnswered(JobId job, boolean known) implements Frame {
    /** Checks the part. */
    public CancelAnswered {
        checkNotNull(job, "job");
    }
}
