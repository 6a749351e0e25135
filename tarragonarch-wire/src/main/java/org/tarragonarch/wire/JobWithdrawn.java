package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.task.JobId;

/**
 * Withdraws a job that was offered with a {@link JobOffered}.
 *
 * @param job the job
 */
public record JobWithdrawn(JobId job) implements Frame {
    /** Checks that the job is not null. */
    public JobWithdrawn {
        checkNotNull(job, "job");
    }
}
