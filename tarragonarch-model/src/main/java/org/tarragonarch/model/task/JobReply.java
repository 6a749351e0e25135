package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The one answer to a job.
 *
 * @param outcome what became of it
 * @param retryMillis when it should be sent again, in milliseconds; 0 unless it was refused
 */
public record JobReply(JobOutcome outcome, long retryMillis) {
    /** Checks the parts. */
    public JobReply {
        checkNotNull(outcome, "outcome");
        checkArgument(retryMillis >= 0, "retryMillis %s is negative", retryMillis);
    }

    /** Returns a reply that names no time to come back. */
    public static JobReply of(JobOutcome outcome) {
        return new JobReply(outcome, 0);
    }

    /** Returns a refusal. */
    public static JobReply refused(long retryMillis) {
        return new JobReply(JobOutcome.REFUSED, retryMillis);
    }
}
