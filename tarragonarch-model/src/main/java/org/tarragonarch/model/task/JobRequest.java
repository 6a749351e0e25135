package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A job as submitted by its caller; it is answered once, when its last task has ended.
 *
 * @param id the id that the caller chose for the job
 * @param specification the description of the work for the endpoints; opaque to the nodes
 * @param step the tasks
 */
public record JobRequest(JobId id, String specification, TaskStep step) {
    /** The maximum size of a specification, in bytes. */
    public static final int MAX_SPECIFICATION_BYTES = 4_000;

    /** The maximum number of tasks of a job, which bounds the cost of one request; callers send up to 110. */
    public static final int MAX_TASKS = 10_000;

    /** Checks that no component is null and the number of tasks is within {@link #MAX_TASKS}. */
    public JobRequest {
        checkNotNull(id, "id");
        checkNotNull(specification, "specification");
        checkNotNull(step, "step");
        checkArgument(step.count() <= MAX_TASKS, "%s tasks exceed the maximum of %s", step.count(), MAX_TASKS);
    }

    /** Returns the total processor time of all tasks while they run, in thousandths of a core. */
    public long milliCores() {
        return step.count() * step.perTask().milliCores();
    }
}
