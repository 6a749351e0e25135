package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.task.Offer;

/**
 * Offers a job to the holder of a shard; a {@link JobSettled} answers it.
 *
 * @param shard the shard
 * @param offer the job
 */
public record JobOffered(FailureDomain shard, Offer offer) implements Frame {
    /** Checks the parts. */
    public JobOffered {
        checkNotNull(shard, "shard");
        checkNotNull(offer, "offer");
    }
}
