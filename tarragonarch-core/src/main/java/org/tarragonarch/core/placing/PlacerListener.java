package org.tarragonarch.core.placing;

import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Verdict;

/** Listener for the verdicts on jobs and for the loss of a shard. */
public interface PlacerListener extends PlacementObserver {
    /**
     * A job was settled.
     *
     * @param origin the node to send the verdict to
     * @param retryMillis the time after which capacity is expected, in milliseconds; 0 unless the job was declined
     */
    void settled(NodeId origin, JobId job, Verdict verdict, long retryMillis);

    /** An endpoint accepted a higher token: another node holds its shard, and this node has released it. */
    void fenced(FailureDomain shard, FencingToken token);
}
