package org.tarragonarch.model.outcome;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.model.id.TaskId;

/**
 * The reason why a submission has no results.
 *
 * @param code the reason, which determines the outcome
 * @param step the processing step at which the problem arose
 * @param peer the endpoint, node or platform part involved; {@code caller} if the caller caused the problem
 * @param detail a human-readable explanation without secrets
 * @param retryAfter the time after which to retry; empty if a retry is not suggested
 * @param task the task that determined the answer, if any
 */
public record Problem(
        ProblemCode code, Step step, String peer, String detail, Optional<Duration> retryAfter, Optional<TaskId> task) {
    /** Checks that no component is null. */
    public Problem {
        checkNotNull(code, "code");
        checkNotNull(step, "step");
        checkNotNull(peer, "peer");
        checkNotNull(detail, "detail");
        checkNotNull(retryAfter, "retryAfter");
        checkNotNull(task, "task");
    }

    /** Returns a problem of a whole submission, without a suggested retry. */
    public static Problem of(ProblemCode code, Step step, String peer, String detail) {
        return new Problem(code, step, peer, detail, Optional.empty(), Optional.empty());
    }

    /** Returns this problem with the time after which to retry. */
    public Problem withRetryAfter(Duration wait) {
        return new Problem(code, step, peer, detail, Optional.of(wait), task);
    }

    /** Returns this problem with the task that determined the answer. */
    public Problem withTask(TaskId deciding) {
        return new Problem(code, step, peer, detail, retryAfter, Optional.of(deciding));
    }
}
