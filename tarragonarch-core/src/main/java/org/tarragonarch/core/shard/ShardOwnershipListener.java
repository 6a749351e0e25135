package org.tarragonarch.core.shard;

import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Verdict;

/** Listener for changes to the shards that this node holds and for the outcomes of jobs placed there. */
public interface ShardOwnershipListener extends ShardObserver {
    /**
     * The node has released its last shard and is about to return its jobs to their origins.
     *
     * <p>Origins that learn of this before their jobs are returned do not offer them to this node again.
     */
    void allShardsReleased();

    /** A job is settled; see {@link org.tarragonarch.core.placing.PlacerListener#settled}. */
    void settled(NodeId origin, JobId job, Verdict verdict, long retryMillis);
}
