package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A queue of the configuration: which requests enter it and how its jobs are treated.
 *
 * @param name the name of the queue
 * @param host the host of its requests
 * @param prefix the path prefix of its requests
 * @param service the service whose endpoints run its tasks
 * @param priority the priority; 0 is the highest
 * @param attempts the number of failures of a task after which its job has failed, at least 1
 * @param stretch the factor of the longest task's run time in the time objective; a job is in time if it is answered
 *     within {@code stretch} times that run time plus {@code objectiveMillis}
 * @param objectiveMillis the constant part of the time objective, in milliseconds
 */
public record QueueDefinition(
        String name,
        String host,
        String prefix,
        String service,
        int priority,
        int attempts,
        double stretch,
        long objectiveMillis) {
    /** Checks that no component is null and the numbers are in range. */
    public QueueDefinition {
        checkNotNull(name, "name");
        checkNotNull(host, "host");
        checkNotNull(prefix, "prefix");
        checkNotNull(service, "service");
        checkArgument(attempts >= 1, "attempts %s is below 1", attempts);
        checkArgument(stretch >= 0, "stretch %s is negative", stretch);
        checkArgument(objectiveMillis >= 0, "objectiveMillis %s is negative", objectiveMillis);
    }
}
