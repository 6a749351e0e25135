package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One execution of a task; an endpoint starts a run only if its number is higher than those of the task's runs that
 * were stopped or have ended there.
 *
 * @param task the task
 * @param run the number of the run of the task, from 1
 */
public record TaskRun(TaskName task, int run) {
    /** Checks that the task is not null and the number at least 1. */
    public TaskRun {
        checkNotNull(task, "task");
        checkArgument(run >= 1, "run %s is below 1", run);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof TaskRun that && run == that.run && task.equals(that.task);
    }

    @Override
    public int hashCode() {
        return 31 * task.hashCode() + run;
    }

    @Override
    public String toString() {
        return task + "#" + run;
    }
}
