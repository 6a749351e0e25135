package org.tarragonarch.core.shard;

import org.tarragonarch.core.placing.Outlook;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.EndKind;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.TaskRun;
import org.tarragonarch.model.task.Verdict;

/** Learns what happens to the shards of a node and to the jobs placed there. */
public interface ShardEvents {
    /** The node took a shard with so many endpoints. */
    void claimed(FailureDomain shard, FencingToken token, int endpoints);

    /** The node let go of a shard of its own accord. */
    void resigned(FailureDomain shard, FencingToken token);

    /** The endpoints of a shard obey another node. */
    void outranked(FailureDomain shard, FencingToken token);

    /** A job is settled; see {@link org.tarragonarch.core.placing.PlacerListener#settled}. */
    void settled(NodeId asker, JobId job, Verdict verdict, long retryMillis);

    /** A job is declined, and why. */
    void declined(NodeId asker, JobId job, Outlook outlook);

    /** A run ended without having done its work. */
    void runEndedBadly(FailureDomain shard, TaskRun run, EndpointId endpoint, EndKind kind);
}
