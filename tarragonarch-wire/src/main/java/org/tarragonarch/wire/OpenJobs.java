package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.task.JobId;

/**
 * The jobs that the sender has offered to the receiver and has neither withdrawn nor given to another holder.
 *
 * <p>It goes first on each connection. A {@link JobWithdrawn} may have been lost with the connection before.
 *
 * @param jobs the jobs
 */
public record OpenJobs(ImmutableSet<JobId> jobs) implements Frame {
    /** Checks the part. */
    public OpenJobs {
        checkNotNull(jobs, "jobs");
    }
}
