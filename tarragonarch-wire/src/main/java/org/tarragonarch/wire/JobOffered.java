package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.task.Offer;

/**
 * Offers a job to a holder of shards; a {@link JobSettled} answers it.
 *
 * @param offer the job
 */
public record JobOffered(Offer offer) implements Frame {
    /** Checks the part. */
    public JobOffered {
        checkNotNull(offer, "offer");
    }
}
