package org.tarragonarch.core.queue;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.tarragonarch.model.id.TeamName;

/**
 * The waiting tasks of one service, in the order in which they are to be started.
 *
 * <p>Not safe for use by several threads.
 *
 * @param <J> what identifies a job; compared by {@code equals}
 */
public final class JobQueue<J> {
    private final Map<J, Entry> jobs = new LinkedHashMap<>();
    private int queuedTasks;

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
        jobs.computeIfAbsent(job, key -> new Entry(team)).tasks += tasks;
        queuedTasks += tasks;
    }

    /** Returns the job whose next task is to be started, among teams that may start one; takes nothing out. */
    public Optional<J> next(Predicate<TeamName> mayStart) {
        return jobs.entrySet().stream()
                .filter(entry -> mayStart.test(entry.getValue().team))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /** Takes one waiting task of a job out, because it is started. */
    public void taskStarted(J job) {
        Entry entry = jobs.get(job);
        entry.tasks--;
        queuedTasks--;
        if (entry.tasks == 0) {
            jobs.remove(job);
        }
    }

    /** Takes all waiting tasks of a job out; a job that has none is passed over. */
    public void remove(J job) {
        Entry entry = jobs.remove(job);
        if (entry != null) {
            queuedTasks -= entry.tasks;
        }
    }

    /** Returns how many tasks wait. */
    public int queuedTasks() {
        return queuedTasks;
    }

    /** Returns how many tasks of a team wait. */
    public int queuedTasks(TeamName team) {
        return jobs.values().stream()
                .filter(entry -> entry.team.equals(team))
                .mapToInt(entry -> entry.tasks)
                .sum();
    }

    /** Returns the expected run time of all that waits ahead of a new job of a team, in nanoseconds of one slot. */
    public long expectedNanosAhead(TeamName team, int weight) {
        return 0;
    }

    private static final class Entry {
        private final TeamName team;
        private int tasks;

        Entry(TeamName team) {
            this.team = team;
        }
    }
}
