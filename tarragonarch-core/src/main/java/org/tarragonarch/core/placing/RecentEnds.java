package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.tarragonarch.model.collect.BoundedMaps;
import org.tarragonarch.model.task.TaskName;
import org.tarragonarch.model.task.TaskRun;

/**
 * The ends of runs that count against tasks whose jobs are offered later, for the tasks that had such an end most
 * recently.
 *
 * <p>Guards against a task that crashes as many endpoints again each time its client submits its job, and against one
 * that a next holder starts again although the lists of its endpoints show as many failed runs as its queue allows.
 */
final class RecentEnds {
    private static final int MAX_TASKS = 4_096;

    private final Map<TaskName, Integer> crashes = BoundedMaps.evictingEldest(MAX_TASKS);
    private final Map<TaskName, Set<TaskRun>> failedRuns = BoundedMaps.evictingEldest(MAX_TASKS);

    /** Records that an endpoint crashed during a run of the task. */
    void recordCrash(TaskName task) {
        crashes.merge(task, 1, Integer::sum);
    }

    /** Records a failed run that holds no capacity when its end is listed. */
    void recordFailedRun(TaskRun run) {
        failedRuns.computeIfAbsent(run.task(), task -> new HashSet<>()).add(run);
    }

    /** Records all ends in the tasks of a job that was just offered. */
    void recordIn(PlacedJob job) {
        for (PlacedTask task : job.tasks()) {
            task.recordCrashes(crashes.getOrDefault(task.name(), 0));
            failedRuns.getOrDefault(task.name(), ImmutableSet.of()).forEach(task::recordFailedRun);
        }
    }
}
