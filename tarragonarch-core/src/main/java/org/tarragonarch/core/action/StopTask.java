package org.tarragonarch.core.action;

import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.TaskId;

/**
 * Tell an endpoint that a started task's result is no longer wanted, and end the exchange.
 *
 * @param task the task
 * @param attempt the attempt that is in flight
 * @param endpoint the endpoint
 * @param address where the endpoint listens
 * @param sendStop whether the stop message is worth sending; if not, only the exchange is dropped when it ends
 */
public record StopTask(TaskId task, int attempt, EndpointId endpoint, Address address, boolean sendStop)
        implements Action {}
