package org.tarragonarch.core.placing;

import org.tarragonarch.core.share.ShareState;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.TaskName;
import org.tarragonarch.model.task.TaskRun;

/**
 * Observer of a holder's decisions on jobs and of events at its endpoints, for logs and metrics.
 *
 * <p>The default methods do nothing.
 */
public interface PlacementObserver {
    /** A job was declined because of its estimate. */
    default void declined(NodeId origin, JobId job, CompletionEstimate estimate) {}

    /**
     * A job of an earlier holder continues, since none of its runs is under way except those that were adopted.
     *
     * @param ground how this is known
     * @param waitedMillis the time for which the job has waited here, in milliseconds
     */
    default void recovered(NodeId origin, JobId job, RecoveryGround ground, long waitedMillis) {}

    /** A client resubmitted a job that is placed here through another node. */
    default void resubmitted(JobId job, NodeId before, NodeId now) {}

    /** Jobs were ended because their origin is lost. */
    default void originLost(NodeId origin, int jobs) {}

    /** Jobs were ended because their origin no longer has them open at this holder. */
    default void jobsNotOpen(NodeId origin, int jobs) {}

    /** The waiting tasks of a job are kept from starting because the authority over its origin's jobs has ended. */
    default void startsWithheld(NodeId origin, JobId job) {}

    /** Runs of a job were stopped because the authority over its origin's jobs has ended. */
    default void runsWithoutAuthority(NodeId origin, JobId job, int runs) {}

    /** A share became limited by its allotment, or is no longer limited. */
    default void shareLimited(ShareState state, boolean isLimited) {}

    /**
     * The speed class of an endpoint changed.
     *
     * @param from the speed in the middle of its earlier class; 1 is the mean of the pool
     * @param to the speed in the middle of its present class
     */
    default void speedChanged(FailureDomain shard, EndpointId endpoint, double from, double to) {}

    /** A run ended without success. */
    default void runEndedBadly(FailureDomain shard, TaskRun run, EndpointId endpoint, EndKind kind) {}

    /** An endpoint whose silence ended the run is found to have crashed. */
    default void crashConfirmed(FailureDomain shard, TaskRun run, EndpointId endpoint) {}

    /**
     * A task of an open job is not started again, which settles the job.
     *
     * @param ends how its runs have ended here
     * @param attempts the failed runs that its queue allows
     */
    default void taskAbandoned(TaskName task, AbandonGround ground, TaskEnds ends, int attempts) {}

    /** An endpoint has restarted under its id; the runs of its earlier incarnation are over. */
    default void endpointRestarted(FailureDomain shard, EndpointIncarnation later) {}
}
