package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.task.JobId;

/**
 * The jobs that the sender has offered to the receiver and has neither withdrawn nor offered to another holder since.
 *
 * <p>Sent first on each connection, since a {@link JobWithdrawn} may have been lost with the previous connection.
 *
 * @param jobs the jobs
 */
public record OpenJobs(ImmutableSet<JobId> jobs) implements Frame {
    /** Checks that the set is not null. */
    public OpenJobs {
        checkNotNull(jobs, "jobs");
    }
}
