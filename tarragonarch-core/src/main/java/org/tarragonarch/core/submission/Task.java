package org.tarragonarch.core.submission;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.TaskId;

/** One task of a submission and how far it has come. */
final class Task {
    private final TaskId id;
    private ImmutableSet<EndpointId> avoidedEndpoints = ImmutableSet.of();
    private TaskState state = TaskState.QUEUED;
    private int attempt;
    private boolean earlierAttemptLost;

    Task(TaskId id) {
        this.id = id;
    }

    TaskId id() {
        return id;
    }

    TaskState state() {
        return state;
    }

    /** Returns the number of the newest attempt, from 1; 0 before the first. */
    int attempt() {
        return attempt;
    }

    /** Returns the endpoints that refused or lost this task. */
    ImmutableSet<EndpointId> avoidedEndpoints() {
        return avoidedEndpoints;
    }

    void markSent() {
        checkState(state == TaskState.QUEUED, "task %s is %s and must not be sent", id, state);
        state = TaskState.SENT;
        attempt++;
    }

    /**
     * Returns whether the task may have run.
     *
     * <p>A task that waits for a retry counts: its first attempt may have run, and to call it not-run would be false.
     */
    boolean mayHaveRun() {
        return earlierAttemptLost || state.mayHaveRun();
    }

    /** Puts the task back because its newest attempt did not start. */
    void requeue(EndpointId failedAt) {
        checkState(state == TaskState.SENT, "task %s is %s and was not sent", id, state);
        state = TaskState.QUEUED;
        avoidedEndpoints = ImmutableSet.<EndpointId>builder()
                .addAll(avoidedEndpoints)
                .add(failedAt)
                .build();
    }

    /** Puts the task back for a retry although its newest attempt may have run. */
    void requeueAfterLoss(EndpointId lostAt) {
        requeue(lostAt);
        earlierAttemptLost = true;
    }

    void end(TaskState end) {
        checkState(end.isFinal() && !state.isFinal(), "task %s cannot go from %s to %s", id, state, end);
        state = end;
    }
}
