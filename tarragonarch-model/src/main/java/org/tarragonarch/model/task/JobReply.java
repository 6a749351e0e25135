package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.tarragonarch.model.id.NodeId;

/**
 * The answer to a job.
 *
 * @param outcome the outcome of the job
 * @param retryMillis the time after which the client should retry, in milliseconds; 0 unless the job was refused
 * @param holder the last node that had the job to place, if any
 */
public record JobReply(JobOutcome outcome, long retryMillis, Optional<NodeId> holder) {
    /** Checks that no component is null and the retry time is not negative. */
    public JobReply {
        checkNotNull(outcome, "outcome");
        checkNotNull(holder, "holder");
        checkArgument(retryMillis >= 0, "retryMillis %s is negative", retryMillis);
    }

    /** Returns a reply without a retry time and holder. */
    public static JobReply of(JobOutcome outcome) {
        return new JobReply(outcome, 0, Optional.empty());
    }

    /** Returns a refusal with a retry time in milliseconds. */
    public static JobReply refused(long retryMillis) {
        return new JobReply(JobOutcome.REFUSED, retryMillis, Optional.empty());
    }

    /** Returns the same reply with the last holder. */
    public JobReply withHolder(Optional<NodeId> lastHolder) {
        return new JobReply(outcome, retryMillis, lastHolder);
    }
}
