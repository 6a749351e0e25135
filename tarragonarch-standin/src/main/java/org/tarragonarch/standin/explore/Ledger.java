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

/** What the endpoints really started and finished: the verdict on the promises rests on it, not on a node's word. */
public final class Ledger {
    private final Map<TaskId, List<Start>> starts = new HashMap<>();
    private final Set<SubmissionId> hasStarted = new HashSet<>();
    private final Set<TaskId> hasSucceeded = new HashSet<>();

    void recordStart(TaskId task, int attempt, String endpoint, long nowNanos) {
        starts.computeIfAbsent(task, id -> new ArrayList<>()).add(new Start(attempt, endpoint, nowNanos));
        hasStarted.add(task.submission());
    }

    void recordSuccess(TaskId task) {
        hasSucceeded.add(task);
    }

    /** Returns the starts of a task. */
    public ImmutableList<Start> starts(TaskId task) {
        return ImmutableList.copyOf(starts.getOrDefault(task, List.of()));
    }

    /** Returns whether any task of a submission has started. */
    public boolean hasStarted(SubmissionId submission) {
        return hasStarted.contains(submission);
    }

    /** Returns whether a task has succeeded. */
    public boolean hasSucceeded(TaskId task) {
        return hasSucceeded.contains(task);
    }

    /** Returns how many starts there were. */
    public int startCount() {
        return starts.values().stream().mapToInt(List::size).sum();
    }

    /**
     * One start of a task at an endpoint.
     *
     * @param attempt the attempt that the node named
     * @param endpoint where it started
     * @param nanos when
     */
    public record Start(int attempt, String endpoint, long nanos) {}
}
