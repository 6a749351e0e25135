package org.tarragonarch.core.shard;

import org.tarragonarch.core.placing.PlacementObserver;
import org.tarragonarch.core.routing.RoutingObserver;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.task.FencingToken;

/**
 * Listener for what happens to the shards of a node, for logs and metrics.
 *
 * <p>Every method does nothing unless it is overridden.
 */
public interface ShardObserver extends PlacementObserver, RoutingObserver {
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
}
