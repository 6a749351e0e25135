package org.tarragonarch.standin.explore;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.id.TaskId;

/** The record of what the endpoints started and finished. Promises are checked against it, not against the nodes. */
public final class Ledger {
    private final Map<TaskId, List<Start>> starts = new HashMap<>();
    private final Set<SubmissionId> startedSubmissions = new HashSet<>();
    private final Set<TaskId> succeededTasks = new HashSet<>();

    void recordStart(TaskId task, int attempt, String endpoint, long nowNanos) {
        starts.computeIfAbsent(task, id -> new ArrayList<>()).add(new Start(attempt, endpoint, nowNanos));
        startedSubmissions.add(task.submission());
    }

    void recordSuccess(TaskId task) {
        succeededTasks.add(task);
    }

    /** Returns the starts of a task. */
    public ImmutableList<Start> starts(TaskId task) {
        return ImmutableList.copyOf(starts.getOrDefault(task, List.of()));
    }

    /** Returns whether any task of a submission has started. */
    public boolean hasStarted(SubmissionId submission) {
        return startedSubmissions.contains(submission);
    }

    /** Returns whether a task has succeeded. */
    public boolean hasSucceeded(TaskId task) {
        return succeededTasks.contains(task);
    }

    /** Returns the number of starts. */
    public int startCount() {
        return starts.values().stream().mapToInt(List::size).sum();
    }

    /**
     * One start of a task at an endpoint.
     *
     * @param attempt the number of the attempt, as the node sent it
     * @param endpoint the endpoint's name
     * @param nanos the virtual time of the start
     */
    public record Start(int attempt, String endpoint, long nanos) {}
}
