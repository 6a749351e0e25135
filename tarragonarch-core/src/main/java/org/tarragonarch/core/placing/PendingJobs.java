package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.TreeMultiset;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

/**
 * The jobs that have tasks to start, the most urgent first.
 *
 * <p>Urgent is what must start first to be in time: the time by which its answer counts in full, less its run time. A
 * job that is partly started stays in its place, so it is finished rather than left behind by newer ones.
 *
 * <p>Sums over the queue are kept up to date as it changes: in a burst they are asked for with each job that comes, and
 * the queue is long.
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

    /** Takes in that so many tasks more, or less, of a job in this queue wait. */
    void adjustWaitingTasks(PlacedJob job, int by) {
        count(job, by);
    }

    private void count(PlacedJob job, int tasks) {
        waitingTasks += tasks;
        waitingTaskMillis += tasks * job.expectedRunMillis();
        waitingMilliCores += tasks * job.taskResources().milliCores();
        waitingWork += tasks * job.taskResources().milliCores() * job.expectedRunMillis();
    }

    /** Records that some tasks of a job in this queue were started. */
    void started(PlacedJob job) {
        if (jobs.contains(job)) {
            started.add(job);
        }
    }

    /** Returns the jobs of which something was started, as they are now. */
    ImmutableList<PlacedJob> started() {
        return ImmutableList.copyOf(started);
    }

    /** Returns the jobs as they are now; they may be removed meanwhile. */
    ImmutableList<PlacedJob> inOrder() {
        return ImmutableList.copyOf(jobs);
    }

    /** Returns the most urgent job. */
    Optional<PlacedJob> first() {
        return jobs.isEmpty() ? Optional.empty() : Optional.of(jobs.first());
    }

    /** Returns the job that comes after another, which need not be in the queue any more. */
    Optional<PlacedJob> after(PlacedJob job) {
        return Optional.ofNullable(jobs.higher(job));
    }

    int size() {
        return jobs.size();
    }

    boolean isEmpty() {
        return jobs.isEmpty();
    }

    /** Returns whether a task of any job fits into so much processor time, in thousandths of a core. */
    boolean anyFitsInto(long milliCores) {
        return !needs.isEmpty() && needs.firstEntry().getElement() <= milliCores;
    }

    /** Returns the least processor time that a task of any job needs, in thousandths of a core; there must be a job. */
    long smallestTaskMilliCores() {
        return needs.firstEntry().getElement();
    }

    /** Returns the processor time that the waiting tasks need, in thousandths of a core. */
    long waitingMilliCores() {
        return waitingMilliCores;
    }

    /** Returns how many tasks wait. */
    long waitingTasks() {
        return waitingTasks;
    }

    /** Returns the run times of the waiting tasks that a new job has to let pass, added up. */
    long waitingTaskMillis(long nowMillis) {
        long work = waitingTaskMillis;
        for (PlacedJob job : overdue(nowMillis)) {
            work -= job.waitingTaskMillis();
        }
        return work;
    }

    /** Returns what the waiting tasks that a new job has to let pass need, and for how long. */
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
     * Waiting tasks, added up.
     *
     * @param milliCores the processor time that they need, in thousandths of a core
     * @param work the same times the expected run time of each in milliseconds
     */
    record Ahead(long milliCores, long work) {}
}
