package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The end of a run as listed by its endpoint.
 *
 * @param number the sequence number of the end within this incarnation of the endpoint, from 1
 * @param run the run that ended
 * @param kind how it ended
 */
public record TaskEnd(long number, TaskRun run, EndKind kind) {
    /** Checks that no component is null. */
    public TaskEnd {
        checkNotNull(run, "run");
        checkNotNull(kind, "kind");
    }
}
