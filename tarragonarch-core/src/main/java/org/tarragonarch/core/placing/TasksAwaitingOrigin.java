package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import org.tarragonarch.model.id.NodeId;

/**
 * Tasks that start only after a message from the origin of their job has arrived, and only while this node has
 * authority over the jobs of that origin.
 *
 * <p>Guards against a task that runs twice: the origin may have considered this node lost and offered the job to
 * another holder.
 */
final class TasksAwaitingOrigin {
    /** How long runs continue after the authority has ended; a late status of the origin restores it. */
    private static final long GRACE_MILLIS = 300;

    private final OriginAuthority authority;
    private final PlacementObserver observer;
    private final Set<PlacedTask> tasks = new LinkedHashSet<>();

    TasksAwaitingOrigin(OriginAuthority authority, PlacementObserver observer) {
        this.authority = authority;
        this.observer = observer;
    }

    /** Keeps a task from starting. */
    void add(PlacedTask task) {
        task.markUnresolved();
        tasks.add(task);
    }

    /** Keeps the waiting tasks of an origin's jobs from starting. */
    void addWaiting(Collection<PlacedJob> jobs, NodeId origin) {
        jobs.stream().filter(job -> job.origin().equals(origin)).forEach(this::addWaiting);
    }

    private void addWaiting(PlacedJob job) {
        job.tasks().stream().filter(PlacedTask::isWaiting).forEach(this::add);
    }

    /**
     * Returns whether the tasks of a job may start now; if not, keeps them from starting.
     *
     * @param nowMillis the steady clock
     */
    boolean checkMayStart(PlacedJob job, long nowMillis) {
        boolean mayStart = authority.endsAtMillis(job.origin()) >= nowMillis;
        if (!mayStart) {
            addWaiting(job);
            observer.startsWithheld(job.origin(), job.id());
        }
        return mayStart;
    }

    /** Stops the runs of jobs over which the authority has ended; their tasks start again once it is restored. */
    void stopRuns(Collection<PlacedJob> jobs, long nowMillis) {
        jobs.stream()
                .filter(job -> nowMillis - GRACE_MILLIS > authority.endsAtMillis(job.origin()))
                .forEach(this::stopRuns);
    }

    private void stopRuns(PlacedJob job) {
        ImmutableList<PlacedTask> running =
                job.tasks().stream().filter(PlacedTask::shouldRun).collect(ImmutableList.toImmutableList());
        if (!running.isEmpty()) {
            running.forEach(PlacedTask::stop);
            observer.runsWithoutAuthority(job.origin(), job.id(), running.size());
        }
    }

    /** Releases the tasks of the origin's jobs that are not over; returns these jobs, which have tasks to start. */
    ImmutableSet<PlacedJob> release(NodeId origin) {
        if (tasks.isEmpty()) {
            return ImmutableSet.of();
        }
        ImmutableSet.Builder<PlacedJob> released = ImmutableSet.builder();
        for (PlacedTask task : ImmutableList.copyOf(tasks)) {
            PlacedJob job = task.job();
            if (job.isOver()) {
                tasks.remove(task);
            } else if (job.origin().equals(origin)) {
                tasks.remove(task);
                task.markResolved();
                released.add(job);
            }
        }
        return released.build();
    }
}
