package org.tarragonarch.core.event;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.TaskId;

/**
 * A task that was sent has come to an end, one way or another.
 *
 * @param task the task
 * @param attempt the attempt that ended, from 1; an end of an earlier attempt is dropped
 * @param endpoint where it was sent
 * @param result what is certain of it
 * @param endpointLeaving whether the endpoint's answer also said that it is about to leave
 * @param detail a sentence for a person
 */
public record TaskEnded(
        TaskId task, int attempt, EndpointId endpoint, SendResult result, boolean endpointLeaving, String detail)
        implements Event {
    /** Checks the parts. */
    public TaskEnded {
        checkNotNull(task, "task");
        checkNotNull(endpoint, "endpoint");
        checkNotNull(result, "result");
        checkNotNull(detail, "detail");
    }
}
