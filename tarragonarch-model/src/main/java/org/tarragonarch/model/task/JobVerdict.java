package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The verdict of a holder on one offer of a job.
 *
 * @param job the job
 * @param offer the offer that the verdict answers
 * @param verdict the verdict
 * @param retryMillis the time until capacity is expected to be free, in milliseconds; 0 unless the job was declined
 */
public record JobVerdict(JobId job, OfferNumber offer, Verdict verdict, long retryMillis) {
    /** Checks that no component is null. */
    public JobVerdict {
        checkNotNull(job, "job");
        checkNotNull(offer, "offer");
        checkNotNull(verdict, "verdict");
    }
}
