package org.tarragonarch.core.submission;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import org.tarragonarch.core.endpoint.EndpointDirectory;
import org.tarragonarch.core.quota.SharedLimits;
import org.tarragonarch.core.runtime.RunTimeEstimator;
import org.tarragonarch.model.id.ServiceName;
import org.tarragonarch.model.id.TeamName;
import org.tarragonarch.model.service.TeamDefinition;

/**
 * How long work has to wait and to run, by the queues, the slots, the limits and the run times learnt.
 *
 * <p>Not safe for use by several threads. Each call takes constant time.
 */
public final class WaitEstimates {
    private final ServiceLanes lanes;
    private final EndpointDirectory endpoints;
    private final SharedLimits<TeamName> quotas;
    private final SharedLimits<ServiceName> services;
    private final RunTimeEstimator runTimes;

    private WaitEstimates(
            ServiceLanes lanes,
            EndpointDirectory endpoints,
            SharedLimits<TeamName> quotas,
            SharedLimits<ServiceName> services,
            RunTimeEstimator runTimes) {
        this.lanes = checkNotNull(lanes, "lanes");
        this.endpoints = checkNotNull(endpoints, "endpoints");
        this.quotas = checkNotNull(quotas, "quotas");
        this.services = checkNotNull(services, "services");
        this.runTimes = checkNotNull(runTimes, "runTimes");
    }

    /** Returns estimates that look at these. */
    public static WaitEstimates create(
            ServiceLanes lanes,
            EndpointDirectory endpoints,
            SharedLimits<TeamName> quotas,
            SharedLimits<ServiceName> services,
            RunTimeEstimator runTimes) {
        return new WaitEstimates(lanes, endpoints, quotas, services, runTimes);
    }

    /** Returns the expected run time of one task of a submission, in nanoseconds. */
    public long expectedNanos(Submission submission) {
        return runTimes.expectedNanos(
                submission.service().name(),
                submission.kind().name(),
                submission.kind().expectedRunTime());
    }

    /** Returns how long a submission would wait for its first slot, behind the work that it does not pass. */
    public Duration expectedWait(Submission submission) {
        long jobNanos = expectedNanos(submission) * submission.tasks().size();
        return expectedWait(submission.service().name(), submission.team(), jobNanos);
    }

    /** Returns after how long a team's caller should come back to a service: the wait behind all, within bounds. */
    public Duration retryAfter(ServiceName service, TeamDefinition team) {
        return RetryAfterBounds.clamp(expectedWait(service, team, Long.MAX_VALUE));
    }

    private Duration expectedWait(ServiceName service, TeamDefinition team, long jobNanos) {
        long slotNanos = lanes.of(service).queue().expectedNanosAhead(team.name(), team.weight(), jobNanos);
        return Duration.ofNanos(slotNanos / slotsFor(service, team));
    }

    /** Returns how many tasks of a team can run from this node at once at a service; at least 1. */
    public int slotsFor(ServiceName service, TeamDefinition team) {
        return Math.max(1, Math.min(endpoints.slots(service), limitFor(service, team)));
    }

    /** Returns how many tasks of a team the limits let run from this node at once at a service; may be 0. */
    public int limitFor(ServiceName service, TeamDefinition team) {
        return Math.min(quotas.share(team.name()), services.share(service));
    }

    /**
     * Returns whether a submission would miss its deadline even if it had every slot of the failure domain to itself.
     *
     * <p>Such a job, once started, takes slots from others and is answered unknown all the same. The mean of many run
     * times predict well how long a job takes that needs each slot more than once, and little of a single task; so only
     * the former is judged, and only by run times that were learnt.
     */
    public boolean cannotMeetDeadline(Submission submission, long nowNanos) {
        ServiceName service = submission.service().name();
        int tasks = submission.tasks().size();
        int slots = Math.max(1, endpoints.slotsOfAllNodes(service));
        if (tasks <= slots || !runTimes.learnt(service, submission.kind().name())) {
            return false;
        }
        return expectedNanos(submission) * tasks / slots > submission.deadlineNanos() - nowNanos;
    }
}
