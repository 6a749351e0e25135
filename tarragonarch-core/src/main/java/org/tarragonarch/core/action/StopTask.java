package org.tarragonarch.core.action;

import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.TaskId;

/**
 * Tell an endpoint that the result of a started task is no longer needed, and end the exchange.
 *
 * @param task the task
 * @param attempt the attempt that is in flight
 * @param endpoint the endpoint
 * @param address the address at which the endpoint listens
 * @param sendStop whether to send the stop message; if not, only the answer is discarded when it arrives
 */
public record StopTask(TaskId task, int attempt, EndpointId endpoint, Address address, boolean sendStop)
        implements Action {}
