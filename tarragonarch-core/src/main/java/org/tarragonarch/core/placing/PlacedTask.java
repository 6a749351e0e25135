package org.tarragonarch.core.placing;

import java.util.Optional;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.task.TaskName;
import org.tarragonarch.model.task.TaskRun;

/** The state of one task of a job: waiting, placed on an endpoint, or done. */
final class PlacedTask {
    /** Covers the run numbers that an earlier holder may have used since the offer was made. */
    private static final int SKIPPED_RUN_NUMBERS = 16;

    private static final int MAX_CRASHES = 3;

    private static final int MAX_RESTARTS = 3;

    /**
     * The limit is higher than that for crashes, since endpoints are also lost when the network is cut, regardless of
     * what they run.
     */
    private static final int MAX_LOST_RUNS = 4;

    private final PlacedJob job;
    private final TaskName name;
    private int nextRun;
    private TaskRecord record = new TaskRecord();
    private boolean done;
    private int restarts;
    private boolean unresolved;
    private Optional<HeldEndpoint> endpoint = Optional.empty();
    private Optional<Reservation> reservation = Optional.empty();
    private Optional<EndpointIncarnation> lastFailedAt = Optional.empty();

    PlacedTask(PlacedJob job, TaskName name, int firstRun) {
        this.job = job;
        this.name = name;
        this.nextRun = firstRun;
    }

    PlacedJob job() {
        return job;
    }

    boolean isDone() {
        return done;
    }

    boolean isWaiting() {
        return !done && !unresolved && reservation.isEmpty();
    }

    /** Records that a run of an earlier holder may be under way, so that the task must not start. */
    void markUnresolved() {
        change(() -> unresolved = true);
    }

    /** Returns whether a run of an earlier holder may be under way that has not been found yet. */
    boolean isUnresolved() {
        return unresolved;
    }

    /** Records that no run of an earlier holder is under way except one that this task has adopted. */
    void markResolved() {
        change(() -> unresolved = false);
    }

    /** Applies a change and updates the job's number of waiting tasks if the task starts or stops waiting. */
    private void change(Runnable change) {
        boolean waitedBefore = isWaiting();
        change.run();
        if (isWaiting() != waitedBefore) {
            job.adjustWaitingTasks(waitedBefore ? -1 : 1);
        }
    }

    /** Returns how the runs of the task have ended at this holder. */
    TaskEnds ends() {
        return record.ends();
    }

    /** Returns the record of how the runs of the task have ended. */
    TaskRecord record() {
        return record;
    }

    /** Makes the task continue the record of an earlier submission of its job. */
    void continueRecord(TaskRecord earlier) {
        record = earlier;
    }

    boolean hasFailedAt(EndpointIncarnation candidate) {
        return lastFailedAt.isPresent() && lastFailedAt.get().equals(candidate);
    }

    TaskRun allocateRun() {
        TaskRun run = new TaskRun(name, nextRun++);
        job.recordRun(run);
        return run;
    }

    /** Adopts a run of an earlier holder as the current run of this task. */
    void adopt(TaskRun run) {
        change(() -> unresolved = false);
        nextRun = Math.max(nextRun, run.run() + 1);
        job.recordRun(run);
    }

    TaskName name() {
        return name;
    }

    void skipRunNumbers() {
        nextRun += SKIPPED_RUN_NUMBERS;
    }

    void setPlacement(HeldEndpoint at, Reservation reserved) {
        endpoint = Optional.of(at);
        change(() -> reservation = Optional.of(reserved));
    }

    boolean holds(Reservation candidate) {
        return reservation.filter(placed -> placed == candidate).isPresent();
    }

    void clearPlacement() {
        endpoint = Optional.empty();
        change(() -> reservation = Optional.empty());
    }

    /** Records that the current run has failed. */
    void recordFailure(TaskRun run, EndpointIncarnation at) {
        record.addFailedRun(run.run());
        lastFailedAt = Optional.of(at);
        clearPlacement();
    }

    /** Records that the endpoint of the current run was lost: it became silent or crashed. */
    void recordLostRun() {
        record.addLostRun();
        clearPlacement();
    }

    /** Returns whether an endpoint has crashed during a run of the task, which may be the cause. */
    boolean hasCrashed() {
        return record.hasCrash();
    }

    /** Returns why the task must not be started again; empty if it may. */
    Optional<AbandonGround> abandonGround() {
        TaskEnds ends = ends();
        if (ends.failures() >= job.attempts()) {
            return Optional.of(AbandonGround.ATTEMPTS_USED);
        }
        if (ends.crashes() >= MAX_CRASHES) {
            return Optional.of(AbandonGround.ENDPOINTS_CRASHED);
        }
        return ends.lostRuns() >= MAX_LOST_RUNS ? Optional.of(AbandonGround.RUNS_LOST) : Optional.empty();
    }

    void markDone() {
        change(() -> done = true);
        unresolved = false;
        clearPlacement();
    }

    /**
     * Stops a run that takes far longer than expected, so that the task starts elsewhere; returns whether a run was
     * stopped. Does nothing after an earlier restart, since the work itself may be long.
     */
    boolean restartOverdue() {
        return restarts == 0 && restart();
    }

    /** Stops a run that shows no progress, so that the task starts elsewhere; returns whether a run was stopped. */
    boolean restartStalled() {
        return restarts < MAX_RESTARTS && restart();
    }

    private boolean restart() {
        if (endpoint.isEmpty()) {
            return false;
        }
        restarts++;
        lastFailedAt = Optional.of(endpoint.get().entry().incarnation());
        stop();
        return true;
    }

    /** Returns whether the task has a run that was not ordered to stop. */
    boolean shouldRun() {
        return reservation.filter(Reservation::shouldRun).isPresent();
    }

    /** Stops the current run, if any. */
    void stop() {
        endpoint.ifPresent(placed -> placed.stop(reservation.orElseThrow()));
    }

    Optional<Reservation> reservation() {
        return reservation;
    }
}
