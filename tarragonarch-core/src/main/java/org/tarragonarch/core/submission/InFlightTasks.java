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

/** The tasks that were sent and have not ended, counted against the limits of their team and service. */
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

    /** Returns whether the limit of the service lets one more task start. */
    boolean mayStart(ServiceName service) {
        return services.mayStart(service);
    }

    /** Returns whether the quota of the team lets one more task start. */
    boolean mayStart(TeamName team) {
        return quotas.mayStart(team);
    }

    /** Counts a task that is sent to an endpoint. */
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

    /** Takes out the task that has ended; returns nothing if it is not this attempt that is in flight. */
    Optional<InFlightTask> remove(TaskEnded ended) {
        InFlightTask flight = inFlight.get(ended.task());
        if (flight == null || flight.attempt() != ended.attempt()) {
            return Optional.empty();
        }
        inFlight.remove(ended.task());
        lanes.of(flight.service()).taskEnded(flight.team());
        quotas.ended(flight.team());
        services.ended(flight.service());
        return Optional.of(flight);
    }

    /**
     * Stops a task of a submission that is answered; it counts until its end is reported.
     *
     * <p>Guards against a started task that runs on for nobody and keeps its slot from the next caller. No estimate of
     * its end spares the stop: a task that overruns its estimate would keep the slot for as long as it runs.
     */
    void stop(Submission submission, Task task, ActionSink sink) {
        InFlightTask flight = inFlight.get(task.id());
        boolean sendStop = submission.service().favours().stopsStartedTasks();
        Endpoint endpoint = flight.endpoint();
        inFlight.put(task.id(), flight.asStopped());
        sink.emit(new StopTask(task.id(), flight.attempt(), endpoint.id(), endpoint.address(), sendStop));
    }

    /** Returns the endpoint at which a task of the submission is in flight, if there is one. */
    Optional<Endpoint> endpointOf(Submission submission) {
        return submission.tasks().stream()
                .map(task -> inFlight.get(task.id()))
                .filter(flight -> flight != null)
                .map(InFlightTask::endpoint)
                .findFirst();
    }
}
