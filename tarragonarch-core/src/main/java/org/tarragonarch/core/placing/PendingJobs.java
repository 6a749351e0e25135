package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.TreeMultiset;
import java.util.Comparator;
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
    private final TreeMultiset<Long> needs = TreeMultiset.create();
    private long waitingTasks;
    private long waitingTaskMillis;

    void add(PlacedJob job) {
        if (jobs.add(job)) {
            needs.add(job.need().milliCores());
            waitingTasks += job.waitingTasks();
            waitingTaskMillis += job.waitingTaskMillis();
            job.pendingIn(Optional.of(this));
        }
    }

    void remove(PlacedJob job) {
        if (jobs.remove(job)) {
            needs.remove(job.need().milliCores());
            waitingTasks -= job.waitingTasks();
            waitingTaskMillis -= job.waitingTaskMillis();
            job.pendingIn(Optional.empty());
        }
    }

    /** Takes in that so many tasks more, or less, of a job in this queue wait. */
    void waitingChanged(PlacedJob job, int by) {
        waitingTasks += by;
        waitingTaskMillis += by * job.expectedRunMillis();
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

    /** Returns the run times of the waiting tasks that a new job has to let pass, added up. */
    long waitingTaskMillis(long nowMillis) {
        long work = waitingTaskMillis;
        for (PlacedJob job : jobs) {
            if (job.latestStartMillis() >= nowMillis) {
                break;
            }
            work -= job.isOverdue(nowMillis) ? job.waitingTaskMillis() : 0;
        }
        return work;
    }
}
