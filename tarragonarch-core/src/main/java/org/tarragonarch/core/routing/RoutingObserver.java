package org.tarragonarch.core.routing;

import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;

/**
 * Listener for jobs of a node's clients that are offered to other failure domains.
 *
 * <p>Every method does nothing unless it is overridden.
 */
public interface RoutingObserver {
    /** A job that its own failure domain could not start at once is offered to the holder of another one. */
    default void movedToNeighbour(JobId job, NodeId holder) {}

    /**
     * The holder of another failure domain could not start a job at once and returned it without having started any of
     * it.
     */
    default void returnedByNeighbour(JobId job, NodeId holder) {}

    /** A job's holder is lost, or has lost its shards, while runs of the job may be under way. */
    default void holderLost(JobId job, NodeId holder) {}

    /**
     * A job whose holder was lost is offered again.
     *
     * @param sinceLossMillis how long ago the holder was lost
     */
    default void offeredAgain(JobId job, NodeId holder, long sinceLossMillis) {}

    /** No client waits for a job any more, so it is withdrawn from its holder. */
    default void clientsLeft(JobId job, NodeId holder) {}
}
