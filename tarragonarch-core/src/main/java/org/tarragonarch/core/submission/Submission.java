package org.tarragonarch.core.submission;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.stream.IntStream;
import org.tarragonarch.core.event.SubmissionArrived;
import org.tarragonarch.model.id.ClaimKey;
import org.tarragonarch.model.id.SubmissionId;
import org.tarragonarch.model.id.TaskId;
import org.tarragonarch.model.service.KindDefinition;
import org.tarragonarch.model.service.ServiceDefinition;
import org.tarragonarch.model.service.TeamDefinition;

/**
 * A submission from its arrival to its answer, with the definitions that were in force when it arrived.
 *
 * <p>Not safe for use by several threads.
 */
public final class Submission {
    private final SubmissionArrived arrived;
    private final ServiceDefinition service;
    private final KindDefinition kind;
    private final TeamDefinition team;
    private final long arrivedNanos;
    private final long deadlineNanos;
    private final ImmutableList<Task> tasks;
    private Stage stage = Stage.DISPATCHED;

    private Submission(
            SubmissionArrived arrived,
            ServiceDefinition service,
            KindDefinition kind,
            TeamDefinition team,
            long nowNanos) {
        this.arrived = checkNotNull(arrived, "arrived");
        this.service = checkNotNull(service, "service");
        this.kind = checkNotNull(kind, "kind");
        this.team = checkNotNull(team, "team");
        this.arrivedNanos = nowNanos;
        long allowed = arrived.timeAllowed().orElse(kind.deadline()).toNanos();
        this.deadlineNanos = nowNanos + Math.min(allowed, kind.deadline().toNanos());
        this.tasks = IntStream.range(0, arrived.tasks().size())
                .mapToObj(index -> new Task(new TaskId(arrived.id(), index)))
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns a submission that has just arrived.
     *
     * <p>Its deadline follows from the time that the caller allows, or from the kind's deadline if that is earlier.
     */
    public static Submission create(
            SubmissionArrived arrived,
            ServiceDefinition service,
            KindDefinition kind,
            TeamDefinition team,
            long nowNanos) {
        return new Submission(arrived, service, kind, team, nowNanos);
    }

    /** Returns the submission's id. */
    public SubmissionId id() {
        return arrived.id();
    }

    /** Returns the event of the submission's arrival. */
    public SubmissionArrived arrived() {
        return arrived;
    }

    /** Returns the service as defined when the submission arrived. */
    public ServiceDefinition service() {
        return service;
    }

    /** Returns the kind as defined when the submission arrived. */
    public KindDefinition kind() {
        return kind;
    }

    /** Returns the team whose quota the tasks count against. */
    public TeamDefinition team() {
        return team;
    }

    /** Returns the time of arrival, in nanoseconds. */
    public long arrivedNanos() {
        return arrivedNanos;
    }

    /** Returns the time at which the submission is ended if it is still open, in nanoseconds. */
    public long deadlineNanos() {
        return deadlineNanos;
    }

    /** Returns the idempotency key with the service and caller it belongs to, if the caller gave one. */
    public Optional<ClaimKey> claimKey() {
        return arrived.key().map(key -> new ClaimKey(service.name(), arrived.caller(), key));
    }

    /** Returns the current stage. */
    public Stage stage() {
        return stage;
    }

    /** Moves the submission to another stage. */
    public void stage(Stage next) {
        stage = next;
    }

    /** Returns whether any task may have run, so that the submission must not be answered as not-run. */
    public boolean mayHaveRun() {
        return tasks.stream().anyMatch(Task::mayHaveRun);
    }

    ImmutableList<Task> tasks() {
        return tasks;
    }

    Task task(int index) {
        return tasks.get(index);
    }

    Optional<Task> nextQueuedTask() {
        return tasks.stream().filter(task -> task.state() == TaskState.QUEUED).findFirst();
    }

    boolean allTasksSucceeded() {
        return tasks.stream().allMatch(task -> task.state() == TaskState.SUCCEEDED);
    }
}
