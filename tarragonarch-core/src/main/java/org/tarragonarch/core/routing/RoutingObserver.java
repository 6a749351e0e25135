package org.tarragonarch.core.routing;

import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;

/**
 * Observes where the jobs of a node's clients go, and decides nothing.
 *
 * <p>Every method does nothing unless it is overridden.
 */
public interface RoutingObserver {
    /** A job that its own failure domain could not start at once was offered to the holder of another one. */
    default void movedToNeighbour(JobId job, NodeId holder) {}

    /** The holder of another failure domain could not start a job at once and gave it back unstarted. */
    default void backFromNeighbour(JobId job, NodeId holder) {}
}
