package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.tarragonarch.model.id.NodeId;

/**
 * The one answer to a job.
 *
 * @param outcome what became of it
 * @param retryMillis when it should be sent again, in milliseconds; 0 unless it was refused
 * @param holder the node that last had the job to place, if any had
 */
public record JobReply(JobOutcome outcome, long retryMillis, Optional<NodeId> holder) {
    /** Checks the parts. */
    public JobReply {
        checkNotNull(outcome, "outcome");
        checkNotNull(holder, "holder");
        checkArgument(retryMillis >= 0, "retryMillis %s is negative", retryMillis);
    }

    /** Returns a reply that names no time to come back. */
    public static JobReply of(JobOutcome outcome) {
        return new JobReply(outcome, 0, Optional.empty());
    }

    /** Returns a refusal. */
    public static JobReply refused(long retryMillis) {
        return new JobReply(JobOutcome.REFUSED, retryMillis, Optional.empty());
    }

    /** Returns the same reply with the node that last had the job. */
    public JobReply withHolder(Optional<NodeId> lastHolder) {
        return new JobReply(outcome, retryMillis, lastHolder);
    }
}
