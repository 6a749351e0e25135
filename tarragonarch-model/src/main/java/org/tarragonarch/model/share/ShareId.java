package org.tarragonarch.model.share;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Identifies a share of a pool's capacity: the queues of one service that have the same priority.
 *
 * @param service the service whose endpoints run its tasks; empty for the one share of a pool without shares
 * @param priority the priority of the queues
 */
public record ShareId(String service, int priority) {
    /** The share of all jobs where no shares are configured. */
    public static final ShareId ALL = new ShareId("", 0);

    /** Checks that the service is not null. */
    public ShareId {
        checkNotNull(service, "service");
    }
}
