package org.tarragonarch.core.routing;

import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.FailureDomain;

/**
 * The loss of the holder of a job.
 *
 * @param holder the lost holder
 * @param shards the shards on which runs of the job may be
 * @param atMillis the time of the loss on the steady clock
 * @param lastContactMillis when this node last heard from the holder, on the steady clock
 */
record HolderLoss(Holder holder, ImmutableSet<FailureDomain> shards, long atMillis, long lastContactMillis) {
    /** Returns how long runs of the job may still continue, in milliseconds; 0 if they are over. */
    long remainingRunMillis(long nowMillis, long maxRunMillisAfterContact) {
        return Math.max(0, lastContactMillis + maxRunMillisAfterContact - nowMillis);
    }
}
