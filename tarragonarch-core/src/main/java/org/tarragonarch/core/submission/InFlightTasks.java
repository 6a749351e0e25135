package org.tarragonarch.core.submission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.StopTask;
import org.tarragonarch.core.endpoint.Endpoint;
import org.tarragonarch.core.event.TaskEnded;
import org.tarragonarch.core.quota.SharedLimits;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.TaskId;
import org.tarragonarch.model.id.TeamName;

/** The tasks that were sent and whose end has not been reported, counted against their team and service. */
final class InFlightTasks {
    private final Map<TaskId, InFlightTask> inFlight = new HashMap<>();
    private final ServiceLanes lanes;
    private final SharedLimits<TeamName> quotas;
    private final SharedLimits<ServiceName> services;

    InFlightTasks(ServiceLanes lanes, SharedLimits<TeamName> quotas, SharedLimits<ServiceName> services) {
        this.lanes = lanes;
        this.quotas = quotas;
        this.services = services;
    }

    /** Returns whether the limit of the service allows one more task. */
    boolean mayStart(ServiceName service) {
        return services.mayStart(service);
    }

    /** Returns whether the quota of the team allows one more task. */
    boolean mayStart(TeamName team) {
        return quotas.mayStart(team);
    }

    /** Adds a task that is sent to an endpoint and counts it against its team and service. */
    void add(Submission submission, Task task, Endpoint endpoint, long nowNanos) {
        ServiceName service = submission.service().name();
        TeamName team = submission.team().name();
        lanes.of(service).taskStarted(team);
        quotas.started(team);
        services.started(service);
        inFlight.put(
                task.id(),
                new InFlightTask(service, submission.kind().name(), team, endpoint, task.attempt(), nowNanos, false));
    }

    /** Removes and returns the task that ended; returns empty if the ended attempt is not in flight. */
    Optional<InFlightTask> remove(TaskEnded ended) {
        InFlightTask sent = inFlight.get(ended.task());
        if (sent == null || sent.attempt() != ended.attempt()) {
            return Optional.empty();
        }
        inFlight.remove(ended.task());
        lanes.of(sent.service()).taskEnded(sent.team());
        quotas.ended(sent.team());
        services.ended(sent.service());
        return Optional.of(sent);
    }

    /**
     * Stops a task of an answered submission; it stays counted until its end is reported.
     *
     * <p>Without the stop, a task whose result nobody needs would keep its slot. It is stopped even if it is estimated
     * to end soon, because a task that overruns its estimate would keep the slot for as long as it runs.
     */
    void stop(Submission submission, Task task, ActionSink sink) {
        InFlightTask sent = inFlight.get(task.id());
        boolean sendStop = submission.service().favours().stopsStartedTasks();
        Endpoint endpoint = sent.endpoint();
        inFlight.put(task.id(), sent.asStopped());
        sink.emit(new StopTask(task.id(), sent.attempt(), endpoint.id(), endpoint.address(), sendStop));
    }

    /** Returns an endpoint at which a task of the submission is in flight, if any. */
    Optional<Endpoint> endpointOf(Submission submission) {
        return submission.tasks().stream()
                .map(task -> inFlight.get(task.id()))
                .filter(sent -> sent != null)
                .map(InFlightTask::endpoint)
                .findFirst();
    }
}
