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
 * Estimates how long work waits and runs, from the queues, slots, limits and learned run times.
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

    /** Returns estimates based on the current state of the given objects. */
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

    /** Returns how long a submission would wait for its first slot, behind the queued work that is ahead of it. */
    public Duration expectedWait(Submission submission) {
        long jobNanos = expectedNanos(submission) * submission.tasks().size();
        return expectedWait(submission.service().name(), submission.team(), jobNanos);
    }

    /** Returns the retry-after time for callers of a team: the wait behind all queued work, within bounds. */
    public Duration retryAfter(ServiceName service, TeamDefinition team) {
        return RetryAfterBounds.clamp(expectedWait(service, team, Long.MAX_VALUE));
    }

    private Duration expectedWait(ServiceName service, TeamDefinition team, long jobNanos) {
        long slotNanos = lanes.of(service).queue().expectedNanosAhead(team.name(), team.weight(), jobNanos);
        return Duration.ofNanos(slotNanos / slotsFor(service, team));
    }

    /** Returns how many tasks of a team this node can run at a service at once; at least 1. */
    public int slotsFor(ServiceName service, TeamDefinition team) {
        return Math.max(1, Math.min(endpoints.slotsPerNode(service), limitFor(service, team)));
    }

    /** Returns how many tasks of a team the limits let this node run at a service at once; may be 0. */
    public int limitFor(ServiceName service, TeamDefinition team) {
        return Math.min(quotas.share(team.name()), services.share(service));
    }

    /**
     * Returns whether a submission would miss its deadline even with every slot of the failure domain to itself.
     *
     * <p>If such a job were started, it would take slots from others and still be answered as unknown. Returns false
     * for submissions with no more tasks than slots and for kinds without learned run times: the mean run time predicts
     * the duration of a job that uses each slot several times, but not that of a single task.
     */
    public boolean cannotMeetDeadline(Submission submission, long nowNanos) {
        ServiceName service = submission.service().name();
        int tasks = submission.tasks().size();
        int slots = Math.max(1, endpoints.totalSlots(service));
        if (tasks <= slots
                || !runTimes.hasEnoughTasks(service, submission.kind().name())) {
            return false;
        }
        return expectedNanos(submission) * tasks / slots > submission.deadlineNanos() - nowNanos;
    }
}
