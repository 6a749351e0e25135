package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableList;
import org.tarragonarch.core.routing.CancelSource;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;

/** Handles the frames by which peers cancel jobs at each other. */
interface CancelFrameHandler {
    /** Cancels a job of this node, and returns whether this node knew it. */
    boolean cancel(JobId job, CancelSource source);

    /** Returns the jobs whose cancellations of this source to repeat to a peer that may have missed them. */
    ImmutableList<JobId> toRepeat(CancelSource source);

    /** Called when a peer has cancelled a job that this node asked it to cancel. */
    void cancelled(NodeId peer, JobId job, boolean known);

    /** Called when a peer cannot be reached, so that no answer from it is awaited. */
    void unreachable(NodeId peer);
}
