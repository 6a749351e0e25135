package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Verdict;

/**
 * Answers a {@link JobOffered}.
 *
 * @param job the job
 * @param verdict what became of it
 * @param retryMillis when there should be room again, in milliseconds; 0 unless the job was declined
 */
public record JobSettled(JobId job, Verdict verdict, long retryMillis) implements Frame {
    /** Checks the parts. */
    public JobSettled {
        checkNotNull(job, "job");
        checkNotNull(verdict, "verdict");
    }
}
