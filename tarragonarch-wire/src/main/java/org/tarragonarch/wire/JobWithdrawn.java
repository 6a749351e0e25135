package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.task.JobId;

/**
 * Takes a {@link JobOffered} back.
 *
 * @param shard the shard that it was offered to
 * @param job the job
 */
public record JobWithdrawn(FailureDomain shard, JobId job) implements Frame {
    /** Checks the parts. */
    public JobWithdrawn {
        checkNotNull(shard, "shard");
        checkNotNull(job, "job");
    }
}
