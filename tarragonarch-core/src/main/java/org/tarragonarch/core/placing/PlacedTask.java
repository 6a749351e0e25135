package org.tarragonarch.core.placing;

import java.util.Optional;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.task.TaskName;
import org.tarragonarch.model.task.TaskRun;

/** One task of a job on its way from waiting to its end. */
final class PlacedTask {
    /** Room for the numbers that an earlier holder may have used since the offer was made. */
    private static final int OLD_RUN_SKIP = 16;

    private static final int CRASHES_TO_GIVE_UP = 2;

    private static final int MOST_STALLED_RUNS = 3;

    /** Endpoints also vanish because they are cut off, which says little of the task that ran there. */
    private static final int LOST_RUNS_TO_GIVE_UP = 4;

    private final PlacedJob job;
    private final TaskName name;
    private int nextRun;
    private int failures;
    private int crashes;
    private int lostRuns;
    private boolean done;
    private int restarts;
    private boolean unresolved;
    private Optional<HeldEndpoint> at = Optional.empty();
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

    /** Notes that a run of an earlier holder may be under way somewhere, so that the task must not start. */
    void markUnresolved() {
        change(() -> unresolved = true);
    }

    /** Returns whether a run of an earlier holder may be under way on an endpoint that was not read yet. */
    boolean isUnresolved() {
        return unresolved;
    }

    /** Notes that no run of an earlier holder is under way, but one that this task has adopted. */
    void markResolved() {
        change(() -> unresolved = false);
    }

    /** Changes the task, and tells its job if it waits now and did not before, or the other way round. */
    private void change(Runnable change) {
        boolean waitedBefore = isWaiting();
        change.run();
        if (isWaiting() != waitedBefore) {
            job.adjustWaitingTasks(waitedBefore ? -1 : 1);
        }
    }

    int failures() {
        return failures;
    }

    boolean hasFailedAt(EndpointIncarnation endpoint) {
        return lastFailedAt.isPresent() && lastFailedAt.get().equals(endpoint);
    }

    TaskRun allocateRun() {
        TaskRun run = new TaskRun(name, nextRun++);
        job.recordRun(run);
        return run;
    }

    /** Notes that a run of an earlier holder goes on as this task's. */
    void adopt(TaskRun run) {
        change(() -> unresolved = false);
        nextRun = Math.max(nextRun, run.run() + 1);
        job.recordRun(run);
    }

    TaskName name() {
        return name;
    }

    void skipRunNumbers() {
        nextRun += OLD_RUN_SKIP;
    }

    void setPlacement(HeldEndpoint endpoint, Reservation placed) {
        at = Optional.of(endpoint);
        change(() -> reservation = Optional.of(placed));
    }

    boolean holds(Reservation candidate) {
        return reservation.filter(placed -> placed == candidate).isPresent();
    }

    void clearPlacement() {
        at = Optional.empty();
        change(() -> reservation = Optional.empty());
    }

    void recordFailure(EndpointIncarnation endpoint) {
        failures++;
        lastFailedAt = Optional.of(endpoint);
        clearPlacement();
    }

    /** Notes that the endpoint of a run was lost: it fell silent, or crashed. */
    void recordLostRun() {
        lostRuns++;
        clearPlacement();
    }

    /** Notes that an endpoint has crashed under a run of the task. */
    void recordCrash() {
        crashes++;
    }

    /** Returns whether an endpoint has crashed under a run of the task, which may be the cause. */
    boolean hasCrashed() {
        return crashes > 0;
    }

    /** Returns whether the task is not to be started again, because endpoints crash under it. */
    boolean hasCrashedTooOften() {
        return crashes >= CRASHES_TO_GIVE_UP;
    }

    /** Returns whether so many of its endpoints were lost that it is not to be started again; it may have run. */
    boolean wasLostTooOften() {
        return lostRuns >= LOST_RUNS_TO_GIVE_UP;
    }

    void markDone() {
        change(() -> done = true);
        unresolved = false;
        clearPlacement();
    }

    /**
     * Stops a run that takes far longer than expected, so that the task starts elsewhere; returns whether it had one to
     * stop. Where the work itself is long, the second run is left alone.
     */
    boolean restartOverdue() {
        return restarts == 0 && restart();
    }

    /** Stops a run that shows no progress, so that the task starts elsewhere; returns whether it had one to stop. */
    boolean restartStalled() {
        return restarts < MOST_STALLED_RUNS && restart();
    }

    private boolean restart() {
        if (at.isEmpty()) {
            return false;
        }
        restarts++;
        lastFailedAt = Optional.of(at.get().entry().incarnation());
        stop();
        return true;
    }

    /** Stops the run if there is one. */
    void stop() {
        at.ifPresent(endpoint -> endpoint.stop(reservation.orElseThrow()));
    }

    Optional<Reservation> reservation() {
        return reservation;
    }
}
