package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.TreeSet;

/**
 * The jobs that have tasks to start, the most urgent first.
 *
 * <p>Urgent is what must start first to be in time: the time by which its answer counts in full, less its run time. A
 * job that is partly started stays in its place, so it is finished rather than left behind by newer ones.
 */
final class PendingJobs {
    private static final Comparator<PlacedJob> BY_LATEST_START = Comparator.comparingLong(PlacedJob::latestStartMillis)
            .thenComparing(job -> job.id().value());

    private final TreeSet<PlacedJob> jobs = new TreeSet<>(BY_LATEST_START);

    void add(PlacedJob job) {
        jobs.add(job);
    }

    void remove(PlacedJob job) {
        jobs.remove(job);
    }

    ImmutableList<PlacedJob> inOrder() {
        return ImmutableList.copyOf(jobs);
    }

    int size() {
        return jobs.size();
    }

    boolean isEmpty() {
        return jobs.isEmpty();
    }

    /** Returns how many tasks wait. */
    long waitingTasks() {
        return jobs.stream().mapToLong(PlacedJob::waitingTasks).sum();
    }

    /** Returns the run times of the waiting tasks that a new job has to let pass, added up. */
    long waitingTaskMillis(long nowMillis) {
        long work = 0;
        for (PlacedJob job : jobs) {
            work += job.overdueAt(nowMillis) ? 0 : job.waitingTaskMillis();
        }
        return work;
    }
}
