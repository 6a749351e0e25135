package org.tarragonarch.core.placing;

import org.tarragonarch.core.share.ShareState;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.EndpointIncarnation;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.TaskRun;
import org.tarragonarch.model.task.Verdict;

/** Learns what becomes of jobs and of the hold itself. */
public interface PlacerListener {
    /**
     * A job is settled.
     *
     * @param origin the node to tell
     * @param retryMillis when there should be room again, in milliseconds; 0 unless the job was declined
     */
    void settled(NodeId origin, JobId job, Verdict verdict, long retryMillis);

    /** A job is declined, and why. */
    void declined(NodeId origin, JobId job, CompletionEstimate estimate);

    /** A share wants more than its allotment from now on, or no longer does. */
    default void shareLimited(ShareState state, boolean isLimited) {}

    /** A run ended without having done its work. */
    void runEndedBadly(FailureDomain shard, TaskRun run, EndpointId endpoint, EndKind kind);

    /** An endpoint has restarted under its id; what ran there is over. */
    void endpointRestarted(FailureDomain shard, EndpointIncarnation later);

    /**
     * An endpoint is of another class of speed than before.
     *
     * @param from the speed in the middle of its earlier class; 1 is the mean of its pool
     * @param to the speed in the middle of its class now
     */
    default void speedChanged(FailureDomain shard, EndpointId endpoint, double from, double to) {}

    /** An endpoint obeys a higher token: another node holds its shard, and this one has released it. */
    void fenced(FailureDomain shard, FencingToken token);
}
