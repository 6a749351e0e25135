package org.tarragonarch.core.placing;

import org.tarragonarch.core.share.ShareState;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.TaskRun;

/**
 * Listener for decisions on jobs and for what a holder finds of its endpoints, for logs and metrics.
 *
 * <p>Every method does nothing unless it is overridden.
 */
public interface PlacementObserver {
    /** A job is declined because of the estimate. */
    default void declined(NodeId origin, JobId job, CompletionEstimate estimate) {}

    /**
     * A job that an earlier holder had goes on, since no run of it is under way but those that were adopted.
     *
     * @param ground how that is known
     * @param waitedMillis how long it has waited here for that
     */
    default void recovered(NodeId origin, JobId job, RecoveryGround ground, long waitedMillis) {}

    /** A job that is placed here was sent again by its client, through another node. */
    default void resubmitted(JobId job, NodeId before, NodeId now) {}

    /** Jobs are ended because the node that had offered them is lost. */
    default void originLost(NodeId origin, int jobs) {}

    /** Jobs are ended because the node that had offered them has them open here no longer. */
    default void jobsNotOpen(NodeId origin, int jobs) {}

    /** A share becomes limited by its allotment, or no longer is. */
    default void shareLimited(ShareState state, boolean isLimited) {}

    /**
     * An endpoint is of another class of speed than before.
     *
     * @param from the speed in the middle of its earlier class; 1 is the mean of its pool
     * @param to the speed in the middle of its class now
     */
    default void speedChanged(FailureDomain shard, EndpointId endpoint, double from, double to) {}

    /** A run ended without having done its work. */
    default void runEndedBadly(FailureDomain shard, TaskRun run, EndpointId endpoint, EndKind kind) {}

    /** An endpoint has restarted under its id; what ran there is over. */
    default void endpointRestarted(FailureDomain shard, EndpointIncarnation later) {}
}
