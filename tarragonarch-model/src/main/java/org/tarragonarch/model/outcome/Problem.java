package org.tarragonarch.model.outcome;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.model.id.TaskId;

/**
 * Why a submission has no results.
 *
 * @param code the reason, which fixes the outcome
 * @param step the step at which it arose
 * @param peer the endpoint, node or platform part it arose with; {@code caller} where it is the caller's own
 * @param detail a sentence for a person, without secrets
 * @param retryAfter when to come back, where coming back may help
 * @param task the task that decided the answer, where one did
 */
public record Problem(
        ProblemCode code, Step step, String peer, String detail, Optional<Duration> retryAfter, Optional<TaskId> task) {
    /** Checks the parts. */
    public Problem {
        checkNotNull(code, "code");
        checkNotNull(step, "step");
        checkNotNull(peer, "peer");
        checkNotNull(detail, "detail");
        checkNotNull(retryAfter, "retryAfter");
        checkNotNull(task, "task");
    }

    /** Returns a problem of a whole submission that offers no time to come back. */
    public static Problem of(ProblemCode code, Step step, String peer, String detail) {
        return new Problem(code, step, peer, detail, Optional.empty(), Optional.empty());
    }

    /** Returns this problem with a time to come back. */
    public Problem withRetryAfter(Duration wait) {
        return new Problem(code, step, peer, detail, Optional.of(wait), task);
    }

    /** Returns this problem with the task that decided it. */
    public Problem withTask(TaskId deciding) {
        return new Problem(code, step, peer, detail, retryAfter, Optional.of(deciding));
    }
}
