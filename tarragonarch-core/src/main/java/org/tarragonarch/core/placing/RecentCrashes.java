package org.tarragonarch.core.placing;

import java.util.Map;
import org.tarragonarch.model.collect.BoundedMaps;
import org.tarragonarch.model.task.TaskName;

/**
 * The number of endpoints that crashed while they ran a task, for the tasks under which one crashed most recently.
 *
 * <p>Outlives the jobs. Guards against a task that crashes as many endpoints again each time its client submits its
 * job.
 */
final class RecentCrashes {
    private static final int MAX_TASKS = 4_096;

    private final Map<TaskName, Integer> crashes = BoundedMaps.evictingEldest(MAX_TASKS);

    /** Records that an endpoint crashed during a run of the task. */
    void record(TaskName task) {
        crashes.merge(task, 1, Integer::sum);
    }

    /** Returns how many endpoints crashed during runs of the task. */
    int count(TaskName task) {
        return crashes.getOrDefault(task, 0);
    }
}
