package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.share.ShareId;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.Resources;
import org.tarragonarch.model.task.TaskName;
import org.tarragonarch.model.task.TaskRun;
import org.tarragonarch.model.task.TaskStep;

/** A job at this holder, from its offer to its verdict. */
final class PlacedJob {
    /** The divisor of the expected run time that gives the tolerance before a job counts as overdue. */
    private static final int ESTIMATE_SLACK_DIVISOR = 4;

    /**
     * The multiple of the expected run time after which a run counts as stalled. A smaller multiple stops tasks that
     * are merely long; a larger one detects stalled runs later.
     */
    private static final int STALL_MULTIPLE = 4;

    /**
     * The fraction of the maximum run time within which a healthy run shows progress, which is reported in whole
     * percents.
     */
    private static final double PROGRESS_FRACTION = 0.04;

    /**
     * The minimum time without progress after which a run counts as stalled: the distance of two reports and some
     * slack.
     */
    private static final long MIN_STALL_TIMEOUT_MILLIS = 150;

    /** Covers the round trips of orders and polls, which matter for the shortest tasks. */
    private static final long STALL_SLACK_MILLIS = 100;

    private final Offer offer;
    private final ImmutableList<PlacedTask> tasks;
    private final long expectedRunMillis;
    private final double slowestFactor;
    private final JobTimes times;
    private final ShareId share;
    private NodeId origin;
    private int attempts;
    private Optional<PendingJobs> pending = Optional.empty();
    private int unfinished;
    private int waitingTasks;
    private boolean over;
    private int lastRunNumber;

    /**
     * Creates a job none of whose tasks has started.
     *
     * @param slowestFactor the factor by which the run time of its slowest task is expected to exceed {@code
     *     expectedRunMillis}
     */
    PlacedJob(Offer offer, int firstRun, long expectedRunMillis, double slowestFactor, JobTimes times, ShareId share) {
        this.offer = offer;
        this.origin = offer.origin();
        this.attempts = offer.queue().attempts();
        this.expectedRunMillis = expectedRunMillis;
        this.slowestFactor = slowestFactor;
        this.times = times;
        this.share = share;
        TaskStep step = offer.job().step();
        ImmutableList.Builder<PlacedTask> builder = ImmutableList.builderWithExpectedSize(step.count());
        for (int index = 0; index < step.count(); index++) {
            builder.add(new PlacedTask(this, TaskName.of(id(), 0, index), firstRun));
        }
        this.tasks = builder.build();
        this.unfinished = step.count();
        this.waitingTasks = step.count();
    }

    Offer offer() {
        return offer;
    }

    JobId id() {
        return offer.job().id();
    }

    String specification() {
        return offer.job().specification();
    }

    QueueDefinition queue() {
        return offer.queue();
    }

    /** Returns the share whose capacity its tasks use. */
    ShareId share() {
        return share;
    }

    TaskStep step() {
        return offer.job().step();
    }

    Resources taskResources() {
        return step().perTask();
    }

    ImmutableList<PlacedTask> tasks() {
        return tasks;
    }

    /** Returns the task with the given name. */
    Optional<PlacedTask> task(TaskName name) {
        return tasks.stream().filter(task -> task.name().equals(name)).findFirst();
    }

    /** Returns a task that must not be started again; empty if every task may. */
    Optional<PlacedTask> taskToAbandon() {
        return tasks.stream().filter(task -> task.abandonGround().isPresent()).findFirst();
    }

    JobTimes times() {
        return times;
    }

    /** Returns the expected run time of a task, from the job's estimate and the recorded runs of its queue. */
    long expectedRunMillis() {
        return expectedRunMillis;
    }

    /** Returns the expected run time of the slowest task. */
    long slowestRunMillis() {
        return Math.round(slowestFactor * expectedRunMillis);
    }

    /** Returns the run time beyond which a task counts as stalled. */
    long maxRunMillis() {
        return STALL_MULTIPLE * expectedRunMillis + STALL_SLACK_MILLIS;
    }

    /** Returns the time without progress after which a run counts as stalled. */
    long stallTimeoutMillis() {
        return Math.max(MIN_STALL_TIMEOUT_MILLIS, Math.round(PROGRESS_FRACTION * maxRunMillis()));
    }

    NodeId origin() {
        return origin;
    }

    /**
     * Takes over the origin and the attempts of an offer of this job after the client has submitted it again.
     *
     * <p>The configuration may have changed in between; the client is told that the job has failed by the attempts that
     * are in force at its last submission.
     */
    void resubmitted(Offer later) {
        origin = later.origin();
        attempts = later.queue().attempts();
    }

    /** Returns the number of failed runs of one task after which the job has failed. */
    int attempts() {
        return attempts;
    }

    boolean isOver() {
        return over;
    }

    /** Ends the job: stops its runs and starts no more of its tasks. */
    void end() {
        over = true;
        for (PlacedTask task : tasks) {
            task.stop();
        }
    }

    /** Returns whether this holder has started or adopted a run of the job. */
    boolean wasStarted() {
        return lastRunNumber() > 0;
    }

    /** Returns whether a run of the job holds capacity at an endpoint. */
    boolean hasReservations() {
        for (PlacedTask task : tasks) {
            if (task.reservation().isPresent()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the highest run number of any task; 0 if none was started or adopted. */
    int lastRunNumber() {
        return lastRunNumber;
    }

    /** Records a run that is about to start or was adopted. */
    void recordRun(TaskRun run) {
        lastRunNumber = Math.max(lastRunNumber, run.run());
    }

    /** Records that a task is done; returns whether it was the last. */
    boolean recordFinished(PlacedTask task) {
        task.markDone();
        unfinished--;
        return allFinished();
    }

    /** Marks every task as one that may have a run of an earlier holder under way. */
    void markUnresolved() {
        tasks.forEach(PlacedTask::markUnresolved);
    }

    /** Returns whether any task may have a run of an earlier holder under way that has not been found yet. */
    boolean hasUnresolvedTasks() {
        for (PlacedTask task : tasks) {
            if (task.isUnresolved()) {
                return true;
            }
        }
        return false;
    }

    /** Records that no run of an earlier holder is under way except those that were adopted. */
    void markResolved() {
        tasks.forEach(PlacedTask::markResolved);
    }

    /** Returns whether any task is done or was started or adopted here. */
    boolean hasProgress() {
        return wasStarted() || unfinished < tasks.size();
    }

    /** Returns whether every task is done. */
    boolean allFinished() {
        return unfinished == 0;
    }

    /** Returns the sum of the expected run times of the waiting tasks. */
    long waitingTaskMillis() {
        return waitingTasks * expectedRunMillis;
    }

    /** Returns the latest start of the last task for an answer in time. */
    long latestStartMillis() {
        return times.inTimeMillis() - expectedRunMillis;
    }

    /**
     * Returns whether the answer would be late even if all tasks started now.
     *
     * <p>An overdue job starts after those that can still be in time. In order of urgency it would come before them, so
     * that in a burst each job would wait for one that is late already and be late itself. Estimates are off by about a
     * third, so a job counts as overdue only some time after its latest start. A partly started job is never overdue:
     * what remains of it costs little compared with what has run already.
     */
    boolean isOverdue(long nowMillis) {
        return !wasStarted() && nowMillis > latestStartMillis() + expectedRunMillis / ESTIMATE_SLACK_DIVISOR;
    }

    /**
     * Returns whether the answer would probably come when it no longer has any value.
     *
     * <p>A started job is finished until its client's deadline, however late it is: its caller then gets the complete
     * answer instead of an error saying that the job may have run.
     */
    boolean isExpired(long nowMillis) {
        long lastUse = wasStarted() ? times.deadlineMillis() : times.expiryMillis();
        return !over && nowMillis + expectedRunMillis / 2 > lastUse;
    }

    /** Returns the number of tasks that wait to be started. */
    int waitingTasks() {
        return waitingTasks;
    }

    /** Adds to the number of waiting tasks; {@code by} may be negative. */
    void adjustWaitingTasks(int by) {
        waitingTasks += by;
        pending.ifPresent(jobs -> jobs.adjustWaitingTasks(this, by));
    }

    /** Sets the queue that this job waits in; empty if it does not wait. */
    void setPendingJobs(Optional<PendingJobs> jobs) {
        pending = jobs;
    }
}
