package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Verdict;

/**
 * The response to a {@link JobOffered}.
 *
 * @param job the job
 * @param verdict the holder's verdict
 * @param retryMillis the time until capacity is expected to be free, in milliseconds; 0 unless the job was declined
 */
public record JobSettled(JobId job, Verdict verdict, long retryMillis) implements Frame {
    /** Checks that the job and the verdict are not null. */
    public JobSettled {
        checkNotNull(job, "job");
        checkNotNull(verdict, "verdict");
    }
}
