package org.tarragonarch.core.submission;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.TaskId;

/** A task of a submission, with its state and attempts. */
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

    /** Returns the number of the latest attempt, from 1; 0 if the task was never sent. */
    int attempt() {
        return attempt;
    }

    /** Returns the endpoints that refused or lost this task. */
    ImmutableSet<EndpointId> avoidedEndpoints() {
        return avoidedEndpoints;
    }

    void markSent() {
        checkState(state == TaskState.QUEUED, "task %s cannot be sent in state %s", id, state);
        state = TaskState.SENT;
        attempt++;
    }

    /**
     * Returns whether the task may have run.
     *
     * <p>This includes a task that waits for a retry after a lost attempt, because the lost attempt may have run.
     */
    boolean mayHaveRun() {
        return earlierAttemptLost || state.mayHaveRun();
    }

    /** Returns the task to the queued state after an attempt that was not started. */
    void requeue(EndpointId failedAt) {
        checkState(state == TaskState.SENT, "task %s cannot be requeued in state %s", id, state);
        state = TaskState.QUEUED;
        avoidedEndpoints = ImmutableSet.<EndpointId>builder()
                .addAll(avoidedEndpoints)
                .add(failedAt)
                .build();
    }

    /** Returns the task to the queued state for a retry after an attempt that may have run. */
    void requeueAfterLoss(EndpointId lostAt) {
        requeue(lostAt);
        earlierAttemptLost = true;
    }

    void end(TaskState end) {
        checkState(end.isFinal() && !state.isFinal(), "task %s cannot change from state %s to %s", id, state, end);
        state = end;
    }
}
