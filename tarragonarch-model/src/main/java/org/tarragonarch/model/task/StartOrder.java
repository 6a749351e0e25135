package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Orders an endpoint to start a run.
 *
 * @param token the holder's token
 * @param run the run
 * @param specification the description of the work
 * @param leaseUntilMillis the end of the run's lease, on the endpoint's clock; an order that arrives later is void
 */
public record StartOrder(FencingToken token, TaskRun run, String specification, long leaseUntilMillis) {
    /** Checks that no component is null. */
    public StartOrder {
        checkNotNull(token, "token");
        checkNotNull(run, "run");
        checkNotNull(specification, "specification");
    }
}
