package org.tarragonarch.core.placing;

import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Verdict;

/** Learns what becomes of jobs and of the hold itself. */
public interface PlacerListener extends PlacementObserver {
    /**
     * A job is settled.
     *
     * @param origin the node to tell
     * @param retryMillis when there should be room again, in milliseconds; 0 unless the job was declined
     */
    void settled(NodeId origin, JobId job, Verdict verdict, long retryMillis);

    /** An endpoint obeys a higher token: another node holds its shard, and this one has released it. */
    void fenced(FailureDomain shard, FencingToken token);
}
