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

/** A job that this holder took, from its offer to its verdict. */
final class PlacedJob {
    /** The part of an expected run time by which it may be wrong before a job is taken for overdue. */
    private static final int ESTIMATE_SLACK_PARTS = 4;

    /** A smaller multiple stops tasks that are merely long; a larger one finds stalled ones later. */
    private static final int STUCK_MULTIPLE = 4;

    /** The part of the longest run time within which a healthy run shows progress; reports are in whole percents. */
    private static final double PROGRESS_PART = 0.04;

    /** The least time without progress after which a run is taken to stall: two reports apart, and some slack. */
    private static final long LEAST_STALL_MILLIS = 150;

    /** Covers the round trips of orders and polls, which matter for the shortest tasks. */
    private static final long STUCK_SLACK_MILLIS = 100;

    private final Offer offer;
    private final ImmutableList<PlacedTask> tasks;
    private final long expectedRunMillis;
    private final double slowestFactor;
    private final JobTimes times;
    private final ShareId share;
    private NodeId origin;
    private Optional<PendingJobs> pending = Optional.empty();
    private int unfinished;
    private int waitingTasks;
    private boolean over;
    private int lastRunNumber;

    /**
     * Creates a job whose tasks are all to be started.
     *
     * @param slowestFactor the factor by which its slowest task should exceed the expected run time
     */
    PlacedJob(Offer offer, int firstRun, long expectedRunMillis, double slowestFactor, JobTimes times, ShareId share) {
        this.offer = offer;
        this.origin = offer.origin();
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

    /** Returns the task of a name, if the job has one. */
    Optional<PlacedTask> task(TaskName name) {
        return tasks.stream().filter(task -> task.name().equals(name)).findFirst();
    }

    JobTimes times() {
        return times;
    }

    /** Returns the run time that the estimate of this job's tasks and experience lead to expect. */
    long expectedRunMillis() {
        return expectedRunMillis;
    }

    /** Returns the run time to expect of the slowest of this job's tasks. */
    long slowestRunMillis() {
        return Math.round(slowestFactor * expectedRunMillis);
    }

    /** Returns the run time beyond which a task counts as stalled. */
    long maxRunMillis() {
        return STUCK_MULTIPLE * expectedRunMillis + STUCK_SLACK_MILLIS;
    }

    /** Returns how long a run may show no progress before it is taken to stall. */
    long stallTimeoutMillis() {
        return Math.max(LEAST_STALL_MILLIS, Math.round(PROGRESS_PART * maxRunMillis()));
    }

    NodeId origin() {
        return origin;
    }

    /** The client sent the job again, by another node. */
    void updateOrigin(NodeId later) {
        origin = later;
    }

    boolean isOver() {
        return over;
    }

    /** Ends the job; nothing of it is started any more, and what runs is stopped. */
    void end() {
        over = true;
        for (PlacedTask task : tasks) {
            task.stop();
        }
    }

    /** Returns whether any task of the job was ever started by this holder. */
    boolean wasStarted() {
        return lastRunNumber() > 0;
    }

    /** Returns whether a run of the job still takes room somewhere. */
    boolean hasReservations() {
        for (PlacedTask task : tasks) {
            if (task.reservation().isPresent()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the highest number of a run of any task. */
    int lastRunNumber() {
        return lastRunNumber;
    }

    /** Notes the number of a run that is about to be started. */
    void recordRun(TaskRun run) {
        lastRunNumber = Math.max(lastRunNumber, run.run());
    }

    /** Notes that a task is done; returns whether it was the last. */
    boolean recordFinished(PlacedTask task) {
        task.markDone();
        unfinished--;
        return allFinished();
    }

    /** Notes that any task may have a run of an earlier holder under way. */
    void markUnresolved() {
        tasks.forEach(PlacedTask::markUnresolved);
    }

    /** Returns whether a task may have a run of an earlier holder under way that was not found yet. */
    boolean hasUnresolvedTasks() {
        for (PlacedTask task : tasks) {
            if (task.isUnresolved()) {
                return true;
            }
        }
        return false;
    }

    /** Notes that no earlier run is under way but those that were adopted. */
    void markResolved() {
        tasks.forEach(PlacedTask::markResolved);
    }

    /** Returns whether some of the job was done or is under way as it comes in. */
    boolean hasProgress() {
        return wasStarted() || unfinished < tasks.size();
    }

    /** Returns whether every task is done. */
    boolean allFinished() {
        return unfinished == 0;
    }

    /** Returns the run times of the tasks that wait, added up. */
    long waitingTaskMillis() {
        return waitingTasks * expectedRunMillis;
    }

    /** Returns when the last task has to start if the answer is to be in time. */
    long latestStartMillis() {
        return times.inTimeMillis() - expectedRunMillis;
    }

    /**
     * Returns whether the answer will not be in time even if all starts now.
     *
     * <p>Such a job goes behind those that still can be. In the order of urgency it would stand before them, so that in
     * a burst each job would wait for one that is late already, and come late itself. Estimates are off by a third or
     * so, which is why a job counts as overdue only somewhat after its time. A job that is partly started is finished:
     * what is left of it costs little against what it has taken.
     */
    boolean isOverdue(long nowMillis) {
        return !wasStarted() && nowMillis > latestStartMillis() + expectedRunMillis / ESTIMATE_SLACK_PARTS;
    }

    /**
     * Returns whether an answer would most likely come when it is of no use any more.
     *
     * <p>A job that was started is worth finishing until its client leaves, however late: its caller still gets the
     * whole answer, and not the word that it may have run.
     */
    boolean isExpired(long nowMillis) {
        long lastUse = wasStarted() ? times.deadlineMillis() : times.expiryMillis();
        return !over && nowMillis + expectedRunMillis / 2 > lastUse;
    }

    /** Returns how many tasks wait to be started. */
    int waitingTasks() {
        return waitingTasks;
    }

    /** Records that so many tasks more, or less, wait to be started. */
    void adjustWaitingTasks(int by) {
        waitingTasks += by;
        pending.ifPresent(jobs -> jobs.adjustWaitingTasks(this, by));
    }

    /** Notes among which pending jobs this one waits, if it does. */
    void setPendingJobs(Optional<PendingJobs> jobs) {
        pending = jobs;
    }
}
