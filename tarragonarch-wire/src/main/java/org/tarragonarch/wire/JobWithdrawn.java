package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.task.JobId;

/**
 * Takes a {@link JobOffered} back.
 *
 * @param job the job
 */
public record JobWithdrawn(JobId job) implements Frame {
    /** Checks the part. */
    public JobWithdrawn {
        checkNotNull(job, "job");
    }
}
