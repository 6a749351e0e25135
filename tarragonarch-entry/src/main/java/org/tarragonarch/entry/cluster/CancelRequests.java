package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableSet;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;

/** Sends the requests to cancel a job to other nodes, and to the store. */
interface CancelRequests {
    /** Asks every located node to cancel a job and returns the nodes whose answers can be awaited. */
    ImmutableSet<NodeId> askAllToCancel(JobId job);

    /**
     * Stores the cancellation of a job.
     *
     * @param stored callback run once it is stored; at once while the store is away
     */
    void store(JobId job, Runnable stored);

    /**
     * Asks a node that has not answered again, on a new connection, since the last one may be silent. Its answers are
     * not awaited until it is heard from.
     */
    void askAgainToCancel(NodeId peer, JobId job);
}
