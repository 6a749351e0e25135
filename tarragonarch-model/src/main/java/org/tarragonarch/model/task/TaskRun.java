package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One start of a task; an endpoint obeys no run that is not higher than one which it stopped or ended.
 *
 * @param task the task
 * @param run the number of the start, from 1 upwards
 */
public record TaskRun(TaskName task, int run) {
    /** Checks the parts. */
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
