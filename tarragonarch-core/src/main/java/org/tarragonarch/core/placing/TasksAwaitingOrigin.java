package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.LinkedHashSet;
import java.util.Set;
import org.tarragonarch.model.id.NodeId;

/**
 * Tasks that start only after a message from the origin of their job has arrived.
 *
 * <p>Guards against a task that runs twice: the origin may have considered this node lost and offered the job to
 * another holder.
 */
final class TasksAwaitingOrigin {
    private final Set<PlacedTask> tasks = new LinkedHashSet<>();

    /** Keeps a task from starting. */
    void add(PlacedTask task) {
        task.markUnresolved();
        tasks.add(task);
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
