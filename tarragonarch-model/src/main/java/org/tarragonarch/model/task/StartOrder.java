package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Orders an endpoint to start a run.
 *
 * @param token the holder's token
 * @param run the run
 * @param specification what the endpoint needs to know of the work
 * @param leaseUntilMillis until when the run may go on, on the endpoint's clock; also the time after which the order
 *     itself is void, however late it arrives
 */
public record StartOrder(FencingToken token, TaskRun run, String specification, long leaseUntilMillis) {
    /** Checks the parts. */
    public StartOrder {
        checkNotNull(token, "token");
        checkNotNull(run, "run");
        checkNotNull(specification, "specification");
    }
}
