package org.tarragonarch.model.task;

import java.util.function.Consumer;

/**
 * Sends orders to endpoints.
 *
 * <p>Each call returns at once and is answered exactly once, asynchronously, on the calling thread. If the endpoint
 * does not answer, the result is {@link OrderResult#UNKNOWN}.
 */
public interface EndpointOrders {
    /** Polls an endpoint for its runs, and extends its lease if the order says so. */
    void poll(EndpointEntry endpoint, PollOrder order, Delivery delivery, Consumer<PollAnswer> reply);

    /** Starts a run. */
    void start(EndpointEntry endpoint, StartOrder order, Delivery delivery, Consumer<OrderAnswer> reply);

    /** Stops a run. */
    void stop(EndpointEntry endpoint, FencingToken token, TaskRun run, Delivery delivery, Consumer<OrderAnswer> reply);
}
