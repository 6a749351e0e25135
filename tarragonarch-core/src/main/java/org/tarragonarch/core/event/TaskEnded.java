package org.tarragonarch.core.event;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.TaskId;

/**
 * A task that was sent ended, whatever its result.
 *
 * @param task the task
 * @param attempt the number of the attempt that ended, from 1; the end of an earlier attempt is ignored
 * @param endpoint the endpoint to which it was sent
 * @param result the result of the send
 * @param endpointLeaving whether the answer also announced that the endpoint is leaving
 * @param detail a human-readable description
 */
public record TaskEnded(
        TaskId task, int attempt, EndpointId endpoint, SendResult result, boolean endpointLeaving, String detail)
        implements Event {
    /** Creates an event. */
    public TaskEnded {
        checkNotNull(task, "task");
        checkNotNull(endpoint, "endpoint");
        checkNotNull(result, "result");
        checkNotNull(detail, "detail");
    }
}
