package org.tarragonarch.core.shard;

import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Verdict;

/** Acts on what happens to the shards of a node and to the jobs placed there. */
public interface ShardOwnershipListener extends ShardObserver {
    /**
     * The node is about to give its jobs back, because it has released its last shard.
     *
     * <p>Peers that hear of it before they get their jobs back do not offer them here again.
     */
    void releasedAll();

    /** A job is settled; see {@link org.tarragonarch.core.placing.PlacerListener#settled}. */
    void settled(NodeId origin, JobId job, Verdict verdict, long retryMillis);
}
