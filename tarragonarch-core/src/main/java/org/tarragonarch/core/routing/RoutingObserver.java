package org.tarragonarch.core.routing;

import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;

/**
 * Observer of jobs of a node's clients that are offered to other failure domains, lose their holder or are withdrawn.
 *
 * <p>The default methods do nothing.
 */
public interface RoutingObserver {
    /** Called when a job that could not start at once in its own failure domain is offered to another holder. */
    default void movedToNeighbour(JobId job, NodeId holder) {}

    /**
     * Called when the holder of another failure domain could not start a job at once and returned it without having
     * started any of it.
     */
    default void returnedByNeighbour(JobId job, NodeId holder) {}

    /** Called when a job's holder is lost, or loses its shards, while runs of the job may be under way. */
    default void holderLost(JobId job, NodeId holder) {}

    /**
     * Called when a job whose holder was lost is offered again.
     *
     * @param sinceLossMillis the time since the holder was lost, in milliseconds
     */
    default void offeredAgain(JobId job, NodeId holder, long sinceLossMillis) {}

    /** Called when offers that may have been lost with a connection are sent to a holder again. */
    default void offersSentAgain(NodeId holder, int offers) {}

    /** Called when an offer was certainly not sent, so that its holder knows of no run by it. */
    default void offerNotSent(JobId job, NodeId holder) {}

    /** Called when a job is withdrawn from its holder because no client waits for it. */
    default void clientsLeft(JobId job, NodeId holder) {}
}
