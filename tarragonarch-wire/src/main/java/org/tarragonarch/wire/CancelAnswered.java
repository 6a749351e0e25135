package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.task.JobId;

/**
 * The response to a {@link CancelAsked}.
 *
 * @param job the job
 * @param known whether the peer had the job and cancelled it
 */
public record CancelAnswered(JobId job, boolean known) implements Frame {
    /** Checks that the job is not null. */
    public CancelAnswered {
        checkNotNull(job, "job");
    }
}
