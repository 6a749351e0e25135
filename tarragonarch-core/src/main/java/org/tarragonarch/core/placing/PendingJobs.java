package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.TreeMultiset;
import java.util.Comparator;
import java.util.Optional;
import java.util.TreeMap;
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

    /** The part of less urgent work that delays a job: such work starts later, but not too late for its own callers. */
    private static final double LESS_URGENT_WEIGHT = 0.5;

    /** Jobs whose latest starts fall into the same span, in milliseconds, share one sum. */
    private static final long SPAN_MILLIS = 25;

    private final TreeSet<PlacedJob> jobs = new TreeSet<>(BY_LATEST_START);
    private final TreeMultiset<Long> needs = TreeMultiset.create();
    private long waitingTasks;
    private final TreeMap<Long, Long> taskMillisBySpan = new TreeMap<>();
    private long waitingTaskMillis;

    void add(PlacedJob job) {
        if (jobs.add(job)) {
            needs.add(job.need().milliCores());
            waitingTasks += job.waitingTasks();
            addWork(job, job.waitingTaskMillis());
            job.pendingIn(Optional.of(this));
        }
    }

    void remove(PlacedJob job) {
        if (jobs.remove(job)) {
            needs.remove(job.need().milliCores());
            waitingTasks -= job.waitingTasks();
            addWork(job, -job.waitingTaskMillis());
            job.pendingIn(Optional.empty());
        }
    }

    /** Records that so many tasks more, or less, of a job in this queue wait. */
    void waitingChanged(PlacedJob job, int by) {
        waitingTasks += by;
        addWork(job, by * job.expectedRunMillis());
    }

    private void addWork(PlacedJob job, long taskMillis) {
        waitingTaskMillis += taskMillis;
        taskMillisBySpan.merge(span(job), taskMillis, (before, added) -> before + added == 0 ? null : before + added);
    }

    private static long span(PlacedJob job) {
        return Math.floorDiv(job.latestStartMillis(), SPAN_MILLIS);
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

    /** Returns how many tasks wait. */
    long waitingTasks() {
        return waitingTasks;
    }

    /**
     * Returns the work that delays a new job, as the run times of the tasks that wait.
     *
     * <p>More urgent work counts in full, less urgent work in part, and overdue work not at all.
     */
    long taskMillisBefore(PlacedJob candidate, long nowMillis) {
        long overdue = overdueTaskMillis(nowMillis);
        long moreUrgent = Math.max(0, moreUrgentTaskMillis(candidate) - overdue);
        long lessUrgent = waitingTaskMillis - overdue - moreUrgent;
        return moreUrgent + Math.round(LESS_URGENT_WEIGHT * lessUrgent);
    }

    private long moreUrgentTaskMillis(PlacedJob candidate) {
        long work = 0;
        for (long taskMillis : taskMillisBySpan.headMap(span(candidate)).values()) {
            work += taskMillis;
        }
        return work;
    }

    private long overdueTaskMillis(long nowMillis) {
        long work = 0;
        for (PlacedJob job : jobs) {
            if (job.latestStartMillis() >= nowMillis) {
                break;
            }
            work += job.isOverdue(nowMillis) ? job.waitingTaskMillis() : 0;
        }
        return work;
    }
}
