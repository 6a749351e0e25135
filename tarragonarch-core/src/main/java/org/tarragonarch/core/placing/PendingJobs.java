package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.TreeMultiset;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * The jobs that have tasks to start, ordered by urgency.
 *
 * <p>The most urgent job is the one with the earliest latest start: the end of its objective less its expected run
 * time. A partly started job keeps its position, so that newer jobs do not delay it.
 *
 * <p>Sums over the queue are updated with each change, since they are read with every offer and the queue is long in a
 * burst.
 */
final class PendingJobs {
    private static final Comparator<PlacedJob> BY_LATEST_START = Comparator.comparingLong(PlacedJob::latestStartMillis)
            .thenComparing(job -> job.id().value());

    private final TreeSet<PlacedJob> jobs = new TreeSet<>(BY_LATEST_START);
    private final TreeSet<PlacedJob> started = new TreeSet<>(BY_LATEST_START);
    private final TreeMultiset<Long> needs = TreeMultiset.create();
    private long waitingTasks;
    private long waitingTaskMillis;
    private long waitingMilliCores;
    private long waitingWork;

    void add(PlacedJob job) {
        if (jobs.add(job)) {
            needs.add(job.taskResources().milliCores());
            count(job, job.waitingTasks());
            job.setPendingJobs(Optional.of(this));
            if (job.wasStarted()) {
                started.add(job);
            }
        }
    }

    void remove(PlacedJob job) {
        if (jobs.remove(job)) {
            needs.remove(job.taskResources().milliCores());
            count(job, -job.waitingTasks());
            job.setPendingJobs(Optional.empty());
            started.remove(job);
        }
    }

    /** Adds to the number of waiting tasks of a job in this queue; {@code by} may be negative. */
    void adjustWaitingTasks(PlacedJob job, int by) {
        count(job, by);
    }

    private void count(PlacedJob job, int tasks) {
        waitingTasks += tasks;
        waitingTaskMillis += tasks * job.expectedRunMillis();
        waitingMilliCores += tasks * job.taskResources().milliCores();
        waitingWork += tasks * job.taskResources().milliCores() * job.expectedRunMillis();
    }

    /** Records that some tasks of a job in this queue have started. */
    void started(PlacedJob job) {
        if (jobs.contains(job)) {
            started.add(job);
        }
    }

    /** Returns a snapshot of the jobs of which some tasks have started. */
    ImmutableList<PlacedJob> started() {
        return ImmutableList.copyOf(started);
    }

    /** Returns a snapshot of the jobs in order of urgency; jobs may be removed during its iteration. */
    ImmutableList<PlacedJob> inOrder() {
        return ImmutableList.copyOf(jobs);
    }

    /** Returns the most urgent job. */
    Optional<PlacedJob> first() {
        return jobs.isEmpty() ? Optional.empty() : Optional.of(jobs.first());
    }

    /** Returns the job that follows the given one, which need not be in the queue any longer. */
    Optional<PlacedJob> after(PlacedJob job) {
        return Optional.ofNullable(jobs.higher(job));
    }

    int size() {
        return jobs.size();
    }

    boolean isEmpty() {
        return jobs.isEmpty();
    }

    /** Returns whether a task of any job needs at most this processor time, in thousandths of a core. */
    boolean anyFitsInto(long milliCores) {
        return !needs.isEmpty() && needs.firstEntry().getElement() <= milliCores;
    }

    /**
     * Returns the least processor time that a task of any job needs, in thousandths of a core. The queue must not be
     * empty.
     */
    long smallestTaskMilliCores() {
        return needs.firstEntry().getElement();
    }

    /** Returns the processor time that the waiting tasks need, in thousandths of a core. */
    long waitingMilliCores() {
        return waitingMilliCores;
    }

    /** Returns the number of waiting tasks. */
    long waitingTasks() {
        return waitingTasks;
    }

    /** Returns the sum of the expected run times of the waiting tasks that start before a new job. */
    long waitingTaskMillis(long nowMillis) {
        long work = waitingTaskMillis;
        for (PlacedJob job : overdue(nowMillis)) {
            work -= job.waitingTaskMillis();
        }
        return work;
    }

    /** Returns the demand of the waiting tasks that start before a new job. */
    Ahead ahead(long nowMillis) {
        long milliCores = waitingMilliCores;
        long work = waitingWork;
        for (PlacedJob job : overdue(nowMillis)) {
            long need = job.waitingTasks() * job.taskResources().milliCores();
            milliCores -= need;
            work -= need * job.expectedRunMillis();
        }
        return new Ahead(milliCores, work);
    }

    private List<PlacedJob> overdue(long nowMillis) {
        List<PlacedJob> overdue = new ArrayList<>();
        for (PlacedJob job : jobs) {
            if (job.latestStartMillis() >= nowMillis) {
                break;
            }
            if (job.isOverdue(nowMillis)) {
                overdue.add(job);
            }
        }
        return overdue;
    }

    /**
     * The total demand of waiting tasks.
     *
     * @param milliCores the processor time that they need, in thousandths of a core
     * @param work the sum over the tasks of need times expected run time, in thousandths of a core times milliseconds
     */
    record Ahead(long milliCores, long work) {}
}
