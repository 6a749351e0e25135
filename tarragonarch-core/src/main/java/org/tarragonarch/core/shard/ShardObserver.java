package org.tarragonarch.core.shard;

import org.tarragonarch.core.placing.CompletionEstimate;
import org.tarragonarch.core.routing.RoutingObserver;
import org.tarragonarch.core.share.ShareState;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointLife;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.TaskRun;

/**
 * Listener for what happens to the shards of a node, for logs and metrics.
 *
 * <p>Every method does nothing unless it is overridden.
 */
public interface ShardObserver extends RoutingObserver {
    /** The node claimed a shard with this many endpoints. */
    default void claimed(FailureDomain shard, FencingToken token, int endpoints) {}

    /** The node released a shard of its own accord. */
    default void resigned(FailureDomain shard, FencingToken token) {}

    /** The endpoints of a shard obey another node. */
    default void fenced(FailureDomain shard, FencingToken token) {}

    /**
     * A failure domain is drained or taken back into use from now on.
     *
     * @param version the version of the store at which that was read
     * @param source who read it: the store's follower, or a peer
     */
    default void drainChanged(FailureDomain domain, boolean isDrained, long version, String source) {}

    /** A job is declined because of the estimate. */
    default void declined(NodeId origin, JobId job, CompletionEstimate estimate) {}

    /** A share becomes limited by its allotment, or no longer is. */
    default void shareLimited(ShareState state, boolean isLimited) {}

    /** An endpoint is clearly faster or slower than before; speeds are multiples of the pool's mean. */
    default void speedChanged(FailureDomain shard, EndpointId endpoint, double from, double to) {}

    /** A run ended without having done its work. */
    default void runEndedBadly(FailureDomain shard, TaskRun run, EndpointId endpoint, EndKind kind) {}

    /** An endpoint has restarted under its id; what ran there is over. */
    default void endpointRestarted(FailureDomain shard, EndpointLife later) {}
}
