package org.tarragonarch.core.cluster;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ListMultimap;
import java.util.Comparator;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.tarragonarch.core.placing.FakeEndpoint;
import org.tarragonarch.core.placing.RunObserver;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.TaskName;
import org.tarragonarch.model.task.TaskRun;

/** All runs of a series as they really went. */
final class RunHistory implements RunObserver {
    private final VirtualTimers timers;
    private final BiConsumer<TaskRun, FakeEndpoint> startObserver;
    private final Consumer<String> log;
    private final ListMultimap<TaskName, RunExecution> executions = ArrayListMultimap.create();

    /**
     * Creates a history without runs.
     *
     * @param startObserver is called for each run that starts
     * @param log receives the ends of runs
     */
    RunHistory(VirtualTimers timers, BiConsumer<TaskRun, FakeEndpoint> startObserver, Consumer<String> log) {
        this.timers = timers;
        this.startObserver = startObserver;
        this.log = log;
    }

    @Override
    public void started(TaskRun run, FencingToken token, FakeEndpoint at) {
        executions.put(run.task(), new RunExecution(run, at, token, timers.nowMillis()));
        startObserver.accept(run, at);
    }

    @Override
    public void ended(TaskRun run, EndKind kind, FakeEndpoint at) {
        log.accept(run + " ended " + kind);
        executions.get(run.task()).stream()
                .filter(execution -> execution.isOpen(run, at))
                .forEach(execution -> execution.end(kind, timers.nowMillis()));
    }

    @Override
    public void acknowledged(TaskRun run, FencingToken token, FakeEndpoint at) {
        executions.get(run.task()).stream()
                .filter(execution -> execution.isUnacknowledged(run, at))
                .forEach(execution -> execution.acknowledge(token, timers.nowMillis()));
    }

    /** Returns the runs of a task, in the order of their starts. */
    ImmutableList<RunExecution> runsOf(TaskName task) {
        return ImmutableList.copyOf(executions.get(task));
    }

    /** Returns the names of the tasks of a job that were started. */
    ImmutableList<TaskName> startedTasks(JobId job) {
        return executions.keySet().stream()
                .filter(task -> task.belongsTo(job))
                .sorted(Comparator.comparing(TaskName::text))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns how many runs of a task have ended so until then. */
    long countEnded(TaskName task, EndKind kind, long untilMillis) {
        return executions.get(task).stream()
                .filter(execution -> execution.endedAs(kind, untilMillis))
                .count();
    }

    /** Returns the largest number of runs of any task of a job that have ended as failed until then. */
    long mostFailedRuns(JobId job, long untilMillis) {
        return startedTasks(job).stream()
                .mapToLong(task -> countEnded(task, EndKind.FAILED, untilMillis))
                .max()
                .orElse(0);
    }
}
