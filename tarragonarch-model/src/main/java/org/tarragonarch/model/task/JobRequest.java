package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A job as its caller handed it in; it is answered once, when its last task has ended.
 *
 * @param id the caller's name for the job
 * @param specification what the endpoints need to know of the work; passed on unread
 * @param step the tasks
 */
public record JobRequest(JobId id, String specification, TaskStep step) {
    /** The most bytes of a specification. */
    public static final int MAX_SPECIFICATION_BYTES = 4_000;

    /** The most tasks of one job: far above the 110 that callers send, and a bound on what one request may hold. */
    public static final int MAX_TASKS = 10_000;

    /** Checks the parts. */
    public JobRequest {
        checkNotNull(id, "id");
        checkNotNull(specification, "specification");
        checkNotNull(step, "step");
        checkArgument(step.count() <= MAX_TASKS, "%s tasks are over %s", step.count(), MAX_TASKS);
    }

    /** Returns the processor time that all its tasks take together while they run, in thousandths of a core. */
    public long milliCores() {
        return step.count() * step.perTask().milliCores();
    }
}
