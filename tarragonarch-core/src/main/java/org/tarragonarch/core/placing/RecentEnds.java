package org.tarragonarch.core.placing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ticker;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.time.Duration;
import java.util.Optional;
import org.tarragonarch.model.task.TaskName;
import org.tarragonarch.model.task.TaskRun;
import org.tarragonarch.model.task.Timers;

/**
 * The records of the tasks that had a failed or lost run most recently; outlives their jobs.
 *
 * <p>Guards against a task that crashes as many endpoints again each time its client submits its job, and against one
 * that a next holder starts again although the lists of its endpoints show as many failed runs as its queue allows.
 */
public final class RecentEnds {
    private static final int MAX_TASKS = 4_096;

    /** Longer than clients wait for an answer, over all submissions of a job. */
    private static final Duration KEPT_FOR = Duration.ofMinutes(1);

    private final Cache<TaskName, TaskRecord> records;

    /**
     * Creates an empty instance.
     *
     * @param timers the clock by which records expire
     */
    public RecentEnds(Timers timers) {
        checkNotNull(timers, "timers");
        records = CacheBuilder.newBuilder()
                .maximumSize(MAX_TASKS)
                .expireAfterWrite(KEPT_FOR)
                .ticker(new Ticker() {
                    @Override
                    public long read() {
                        return Duration.ofMillis(timers.nowMillis()).toNanos();
                    }
                })
                .build();
    }

    /** Keeps the record of a task that has just had a failed or lost run. */
    void keep(PlacedTask task) {
        records.put(task.name(), task.record());
    }

    /** Discards the record of a task that is done. */
    void discard(PlacedTask task) {
        records.invalidate(task.name());
    }

    /** Records a failed run that holds no capacity when its end is listed; its job may not be placed here. */
    void recordFailedRun(TaskRun run) {
        TaskRecord record = find(run.task()).orElseGet(TaskRecord::new);
        record.addFailedRun(run.run());
        records.put(run.task(), record);
    }

    /** Makes the tasks of a job that was just offered continue the records of its earlier submissions. */
    void restoreIn(PlacedJob job) {
        if (records.size() > 0) {
            job.tasks().forEach(task -> find(task.name()).ifPresent(task::continueRecord));
        }
    }

    private Optional<TaskRecord> find(TaskName task) {
        return Optional.ofNullable(records.getIfPresent(task));
    }
}
