package org.tarragonarch.core.queue;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.tarragonarch.model.id.TeamName;

/**
 * The waiting tasks of one service, in the order in which they start.
 *
 * <p>Teams are served by start-time fair queueing: each team has a virtual time, which every started task advances by
 * its expected run time divided by the team's weight, and the team with the lowest virtual time comes next. Within a
 * team, the job with the least expected remaining work comes next, since a job is answered when its last task ends;
 * only a bounded amount of later work may overtake a larger job.
 *
 * <p>Not thread-safe. A change takes time logarithmic in the number of jobs and teams; {@link #next} takes time linear
 * in the number of teams that may not start a task.
 *
 * @param <J> the type of job identifiers, compared by {@code equals}
 */
public final class JobQueue<J> {
    private final Map<J, WaitingJob<J>> jobs = new HashMap<>();
    private final Map<TeamName, TeamQueue<J>> teams = new HashMap<>();
    private final TreeSet<TeamQueue<J>> waitingTeams =
            new TreeSet<>(Comparator.comparingDouble(TeamQueue<J>::virtualNanos).thenComparing(TeamQueue::team));

    private long sequence;
    private int queuedTasks;
    private long queuedNanos;
    private long waitingWeight;
    private double virtualNanos;

    private JobQueue() {}

    /** Returns an empty queue. */
    public static <J> JobQueue<J> create() {
        return new JobQueue<>();
    }

    /**
     * Adds waiting tasks of a job, which may already have some.
     *
     * @param job the identifier of the job
     * @param team the team of the job
     * @param weight the team's weight
     * @param tasks the number of tasks to add
     * @param expectedNanos the expected run time of one task, in nanoseconds
     */
    public void add(J job, TeamName team, int weight, int tasks, long expectedNanos) {
        checkNotNull(job, "job");
        checkArgument(weight >= 1, "weight %s of %s is below 1", weight, team);
        checkArgument(tasks >= 1, "tasks %s is below 1", tasks);
        checkArgument(expectedNanos >= 0, "expectedNanos %s is negative", expectedNanos);
        TeamQueue<J> queue = teams.computeIfAbsent(team, TeamQueue::new);
        removeFromTotals(queue);
        queue.updateWeight(weight);
        WaitingJob<J> waiting = jobs.get(job);
        if (waiting == null) {
            waiting = new WaitingJob<>(job, queue, sequence++);
            jobs.put(job, waiting);
        }
        queue.update(waiting, tasks, Math.max(1, expectedNanos));
        queue.advanceTo(virtualNanos);
        addToTotals(queue);
    }

    /** Returns the job whose task should start next, among the teams that may start one; the queue is unchanged. */
    public Optional<J> next(Predicate<TeamName> mayStart) {
        for (TeamQueue<J> queue : waitingTeams) {
            if (mayStart.test(queue.team())) {
                return Optional.of(queue.first().job());
            }
        }
        return Optional.empty();
    }

    /**
     * Removes one waiting task of a job, because it was started.
     *
     * @throws IllegalStateException if no task of the job waits
     */
    public void taskStarted(J job) {
        WaitingJob<J> waiting = jobs.get(job);
        checkState(waiting != null, "no task of %s waits", job);
        TeamQueue<J> queue = waiting.queue();
        removeFromTotals(queue);
        // A team that was limited by its quota must not accumulate credit and then lock out the others.
        queue.advanceTo(virtualNanos);
        virtualNanos = queue.virtualNanos();
        queue.charge(waiting.expectedNanos());
        queue.update(waiting, -1, waiting.expectedNanos());
        removeIfEmpty(waiting);
        addToTotals(queue);
    }

    /** Removes all waiting tasks of a job, if any. */
    public void remove(J job) {
        WaitingJob<J> waiting = jobs.get(job);
        if (waiting == null) {
            return;
        }
        TeamQueue<J> queue = waiting.queue();
        removeFromTotals(queue);
        queue.update(waiting, -waiting.tasks(), waiting.expectedNanos());
        removeIfEmpty(waiting);
        addToTotals(queue);
    }

    /** Returns the number of waiting tasks. */
    public int queuedTasks() {
        return queuedTasks;
    }

    /** Returns the number of waiting tasks of a team. */
    public int queuedTasks(TeamName team) {
        TeamQueue<J> queue = teams.get(team);
        return queue == null ? 0 : queue.tasks();
    }

    /**
     * Returns a team's share by weight of the tasks that may wait, among this team and all teams with waiting tasks.
     *
     * @param bound the number of tasks of all teams that may wait
     */
    public int fairShare(TeamName team, int weight, int bound) {
        long others = queuedTasks(team) > 0 ? waitingWeight - weight : waitingWeight;
        return Math.toIntExact((long) bound * weight / (others + weight));
    }

    /**
     * Returns the expected run time of the tasks ahead of a new job of a team, in nanoseconds of one slot, if the job
     * is larger than all others of its team.
     */
    public long expectedNanosAhead(TeamName team, int weight) {
        return expectedNanosAhead(team, weight, Long.MAX_VALUE);
    }

    /**
     * Returns the expected run time of the tasks ahead of a new job of a team, in nanoseconds of one slot.
     *
     * <p>This is the work of the team's jobs that are no larger, to within a factor of two, and the work that other
     * teams with waiting tasks get by their weights in the same time.
     *
     * @param weight the team's weight
     * @param jobNanos the expected work of the new job, in nanoseconds of one slot
     */
    public long expectedNanosAhead(TeamName team, int weight, long jobNanos) {
        TeamQueue<J> queue = teams.get(team);
        if (queue == null || queue.tasks() == 0) {
            return 0;
        }
        double ofTeam = queue.nanosUpTo(jobNanos);
        return (long) Math.min(queuedNanos, ofTeam * waitingWeight / weight);
    }

    private void removeFromTotals(TeamQueue<J> queue) {
        if (queue.tasks() > 0) {
            waitingTeams.remove(queue);
            waitingWeight -= queue.weight();
            queuedTasks -= queue.tasks();
            queuedNanos -= queue.nanos();
        }
    }

    private void addToTotals(TeamQueue<J> queue) {
        if (queue.tasks() > 0) {
            waitingTeams.add(queue);
            waitingWeight += queue.weight();
            queuedTasks += queue.tasks();
            queuedNanos += queue.nanos();
        }
    }

    private void removeIfEmpty(WaitingJob<J> waiting) {
        if (waiting.tasks() == 0) {
            jobs.remove(waiting.job());
        }
    }
}
