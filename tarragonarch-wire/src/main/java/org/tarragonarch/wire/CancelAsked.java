package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.task.JobId;

/**
 * Asks a peer to cancel a job, whether or not the peer has the job.
 *
 * <p>Those that directly follow {@link OpenJobs} repeat what other nodes have asked for, which the peer may have
 * missed. A peer without a notion of repetitions cancels and answers as for any other.
 *
 * @param job the job
 */
public record CancelAsked(JobId job) implements Frame {
    /** Checks that the job is not null. */
    public CancelAsked {
        checkNotNull(job, "job");
    }
}
