package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The end of a run as its endpoint lists it.
 *
 * @param number counts the ends of this incarnation of the endpoint, from 1 upwards
 * @param run the run that ended
 * @param kind how it ended
 */
public record TaskEnd(long number, TaskRun run, EndKind kind) {
    /** Checks the parts. */
    public TaskEnd {
        checkNotNull(run, "run");
        checkNotNull(kind, "kind");
    }
}
