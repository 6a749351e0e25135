package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalLong;

/**
 * Asks an endpoint what runs there, takes note of ends, and may extend the lease of all that runs.
 *
 * @param token the holder's token
 * @param acknowledgedEnd the number of the last end that was taken note of, 0 for none
 * @param leaseUntilMillis until when what runs may go on, on the endpoint's clock; empty to only read the lists
 * @param waitMillis how long the endpoint may wait for an end before it answers
 */
public record HoldOrder(FencingToken token, long acknowledgedEnd, OptionalLong leaseUntilMillis, long waitMillis) {
    /** Checks the parts. */
    public HoldOrder {
        checkNotNull(token, "token");
        checkNotNull(leaseUntilMillis, "leaseUntilMillis");
    }
}
