package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;

/**
 * The order of a poll: asks an endpoint for its runs, acknowledges ends, and optionally extends the lease of the runs.
 *
 * @param token the holder's token
 * @param acknowledgedEnd the number of the last acknowledged end, 0 for none
 * @param leaseUntilMillis the end of the lease, on the endpoint's clock; empty to leave the lease as it is
 * @param waitMillis how long the endpoint may wait for a run to end before it answers, in milliseconds
 */
public record PollOrder(FencingToken token, long acknowledgedEnd, OptionalLong leaseUntilMillis, long waitMillis) {
    /** Checks that no component is null. */
    public PollOrder {
        checkNotNull(token, "token");
        checkNotNull(leaseUntilMillis, "leaseUntilMillis");
    }
}
