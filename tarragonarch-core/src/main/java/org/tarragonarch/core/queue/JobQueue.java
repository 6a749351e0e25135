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
 * The waiting tasks of one service, in the order in which they are to be started.
 *
 * <p>Between teams it is start-time fair queueing by weight: each team has a virtual time, which a started task moves
 * on by its expected run time over the team's weight, and the team that is furthest behind comes next. Within a team
 * the job with the least expected work left comes next, since a job is answered by its last task; a larger job is
 * passed by a bounded amount of work only.
 *
 * <p>Not safe for use by several threads. A change costs time by the logarithm of the number of jobs and teams;
 * {@link #next} looks at one team more than are held back.
 *
 * @param <J> what identifies a job; compared by {@code equals}
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
     * Adds waiting tasks of a job, which may have some already.
     *
     * @param job the job
     * @param team the team it belongs to
     * @param weight the team's weight
     * @param tasks how many tasks wait
     * @param expectedNanos the expected run time of one of them
     */
    public void add(J job, TeamName team, int weight, int tasks, long expectedNanos) {
        checkNotNull(job, "job");
        checkArgument(weight >= 1, "weight %s of %s is below 1", weight, team);
        checkArgument(tasks >= 1, "%s tasks are none", tasks);
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

    /** Returns the job whose next task is to be started, among teams that may start one; takes nothing out. */
    public Optional<J> next(Predicate<TeamName> mayStart) {
        for (TeamQueue<J> queue : waitingTeams) {
            if (mayStart.test(queue.team())) {
                return Optional.of(queue.first().job());
            }
        }
        return Optional.empty();
    }

    /** Takes one waiting task of a job out, because it is started. */
    public void taskStarted(J job) {
        WaitingJob<J> waiting = jobs.get(job);
        checkState(waiting != null, "no task of %s waits", job);
        TeamQueue<J> queue = waiting.queue();
        removeFromTotals(queue);
        // A team that was held back by its quota must not save up its turns and then shut the others out.
        queue.advanceTo(virtualNanos);
        virtualNanos = queue.virtualNanos();
        queue.charge(waiting.expectedNanos());
        queue.update(waiting, -1, waiting.expectedNanos());
        forgetIfEmpty(waiting);
        addToTotals(queue);
    }

    /** Takes all waiting tasks of a job out; a job that has none is passed over. */
    public void remove(J job) {
        WaitingJob<J> waiting = jobs.get(job);
        if (waiting == null) {
            return;
        }
        TeamQueue<J> queue = waiting.queue();
        removeFromTotals(queue);
        queue.update(waiting, -waiting.tasks(), waiting.expectedNanos());
        forgetIfEmpty(waiting);
        addToTotals(queue);
    }

    /** Returns how many tasks wait. */
    public int queuedTasks() {
        return queuedTasks;
    }

    /** Returns how many tasks of a team wait. */
    public int queuedTasks(TeamName team) {
        TeamQueue<J> queue = teams.get(team);
        return queue == null ? 0 : queue.tasks();
    }

    /**
     * Returns how many of so many waiting tasks are a team's part by weight, among the teams that wait and itself.
     *
     * @param bound the tasks that may wait in all
     */
    public int fairShare(TeamName team, int weight, int bound) {
        long others = queuedTasks(team) > 0 ? waitingWeight - weight : waitingWeight;
        return Math.toIntExact((long) bound * weight / (others + weight));
    }

    /** Returns the expected run time of all that waits ahead of a new job of a team, in nanoseconds of one slot. */
    public long expectedNanosAhead(TeamName team, int weight) {
        return expectedNanosAhead(team, weight, Long.MAX_VALUE);
    }

    /**
     * Returns the expected run time of what waits ahead of a new job of a team, in nanoseconds of one slot.
     *
     * <p>That is the work of the team's jobs that are no larger, to within a factor of two, and what the other waiting
     * teams are served meanwhile by their weights.
     *
     * @param weight the team's weight
     * @param jobNanos the expected work of the new job
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

    private void forgetIfEmpty(WaitingJob<J> waiting) {
        if (waiting.tasks() == 0) {
            jobs.remove(waiting.job());
        }
    }
}
