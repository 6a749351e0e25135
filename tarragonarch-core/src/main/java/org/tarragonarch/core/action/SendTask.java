package org.tarragonarch.core.action;

import java.time.Duration;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.TaskId;

/**
 * Send a task to an endpoint, once, and report one {@code TaskEnded} for it.
 *
 * @param task the task
 * @param attempt the number of the attempt, from 1
 * @param endpoint the endpoint
 * @param address the address at which the endpoint listens
 * @param timeAllowed the time until the deadline of the submission
 */
public record SendTask(TaskId task, int attempt, EndpointId endpoint, Address address, Duration timeAllowed)
        implements Action {}
