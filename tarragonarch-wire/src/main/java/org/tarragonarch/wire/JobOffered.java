package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.task.Offer;

/**
 * Offers a job to a holder of shards, which responds with a {@link JobSettled}.
 *
 * @param offer the offer
 */
public record JobOffered(Offer offer) implements Frame {
    /** Checks that the offer is not null. */
    public JobOffered {
        checkNotNull(offer, "offer");
    }
}
