package org.tarragonarch.core.shard;

import org.tarragonarch.core.placing.PlacementObserver;
import org.tarragonarch.core.routing.RoutingObserver;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.task.FencingToken;

/**
 * Observer of events of the shards of a node, for logs and metrics.
 *
 * <p>The default methods do nothing.
 */
public interface ShardObserver extends PlacementObserver, RoutingObserver {
    /** The node claimed a shard with this many endpoints. */
    default void claimed(FailureDomain shard, FencingToken token, int endpoints) {}

    /** The node released a shard voluntarily. */
    default void resigned(FailureDomain shard, FencingToken token) {}

    /** The endpoints of a shard obey a higher token than this node's. */
    default void fenced(FailureDomain shard, FencingToken token) {}

    /**
     * The clock of an endpoint shows that this node's steady clock stood still.
     *
     * @param millis how long at least, in milliseconds
     */
    default void clockStoodStill(long millis) {}

    /**
     * A failure domain was drained or undrained.
     *
     * @param version the version of the store that showed the change
     * @param source where the change was read: the store's follower, or a peer
     */
    default void drainChanged(FailureDomain domain, boolean isDrained, long version, String source) {}
}
