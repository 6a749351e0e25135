package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One queue of the configuration: which requests enter it and how its jobs are treated.
 *
 * @param name the name of the queue
 * @param host the host that requests name
 * @param prefix what the path of its requests begins with
 * @param service the service whose endpoints run its tasks
 * @param priority 0 comes first
 * @param attempts how often a task may fail before its job has failed, at least 1
 * @param stretch a job is in time within this multiple of its longest task's run time, and the objective more
 * @param objectiveMillis see stretch, in milliseconds
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
    /** Checks the parts. */
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
