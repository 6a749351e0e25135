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
    private Optional<EndpointIncarnation> failedAt = Optional.empty();

    PlacedTask(PlacedJob job, TaskName name, int firstRun) {
        this.job = job;
        this.name = name;
        this.nextRun = firstRun;
    }

    PlacedJob job() {
        return job;
    }

    boolean done() {
        return done;
    }

    boolean waiting() {
        return !done && !unresolved && reservation.isEmpty();
    }

    /** Notes that a run of an earlier holder may be under way somewhere, so that the task must not start. */
    void unresolved() {
        change(() -> unresolved = true);
    }

    /** Returns whether a run of an earlier holder may be under way on an endpoint that was not read yet. */
    boolean isUnresolved() {
        return unresolved;
    }

    /** Notes that no run of an earlier holder is under way, but one that this task has adopted. */
    void resolved() {
        change(() -> unresolved = false);
    }

    /** Changes the task, and tells its job if it waits now and did not before, or the other way round. */
    private void change(Runnable change) {
        boolean waitedBefore = waiting();
        change.run();
        if (waiting() != waitedBefore) {
            job.waitingChanged(waitedBefore ? -1 : 1);
        }
    }

    int failures() {
        return failures;
    }

    boolean failedAt(EndpointIncarnation endpoint) {
        return failedAt.isPresent() && failedAt.get().equals(endpoint);
    }

    TaskRun takeRun() {
        TaskRun run = new TaskRun(name, nextRun++);
        job.started(run);
        return run;
    }

    /** Notes that a run of an earlier holder goes on as this task's. */
    void adopted(TaskRun run) {
        change(() -> unresolved = false);
        nextRun = Math.max(nextRun, run.run() + 1);
        job.started(run);
    }

    TaskName name() {
        return name;
    }

    void skipOldRuns() {
        nextRun += OLD_RUN_SKIP;
    }

    void placed(HeldEndpoint endpoint, Reservation placed) {
        at = Optional.of(endpoint);
        change(() -> reservation = Optional.of(placed));
    }

    boolean holds(Reservation candidate) {
        return reservation.filter(placed -> placed == candidate).isPresent();
    }

    void back() {
        at = Optional.empty();
        change(() -> reservation = Optional.empty());
    }

    void failed(EndpointIncarnation endpoint) {
        failures++;
        failedAt = Optional.of(endpoint);
        back();
    }

    /** Notes that the endpoint of a run was lost: it fell silent, or crashed. */
    void lostRun() {
        lostRuns++;
        back();
    }

    /** Notes that an endpoint has crashed under a run of the task. */
    void crashed() {
        crashes++;
    }

    /** Returns whether an endpoint has crashed under a run of the task, which may be the cause. */
    boolean isSuspect() {
        return crashes > 0;
    }

    /** Returns whether the task is not to be started again, because endpoints crash under it. */
    boolean isCrashing() {
        return crashes >= CRASHES_TO_GIVE_UP;
    }

    /** Returns whether so many of its endpoints were lost that it is not to be started again; it may have run. */
    boolean isLostTooOften() {
        return lostRuns >= LOST_RUNS_TO_GIVE_UP;
    }

    void finished() {
        change(() -> done = true);
        unresolved = false;
        back();
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
        failedAt = Optional.of(at.get().entry().incarnation());
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
