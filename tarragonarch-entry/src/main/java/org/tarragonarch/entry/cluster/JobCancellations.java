package org.tarragonarch.entry.cluster;

import com.google.common.collect.ImmutableList;
import java.util.function.Consumer;
import org.tarragonarch.core.cluster.OriginMessages;
import org.tarragonarch.core.routing.CancelSource;
import org.tarragonarch.core.routing.JobRouter;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.log.NodeEvent;
import org.tarragonarch.model.task.JobId;

/** Cancels jobs at this node and, for its clients, at all others, since any node may receive a submission again. */
final class JobCancellations implements CancelFrameHandler {
    private final JobRouter router;
    private final OriginMessages originMessages;
    private final PeerCancellations peers;
    private final DecisionLog log;

    JobCancellations(JobRouter router, OriginMessages originMessages, PeerCancellations peers, DecisionLog log) {
        this.router = router;
        this.originMessages = originMessages;
        this.peers = peers;
        this.log = log;
    }

    /**
     * Cancels a job for a client of this node.
     *
     * @param answer receives whether any node knew the job
     */
    void cancel(JobId job, Consumer<Boolean> answer) {
        boolean here = cancel(job, CancelSource.CLIENT);
        log.write(NodeEvent.JOB_CANCELLED, "job", job, "here", here);
        peers.ask(job, here, answer);
    }

    /** Returns the cancellations whose clients wait for an answer. */
    PeerCancellations pending() {
        return peers;
    }

    @Override
    public boolean cancel(JobId job, CancelSource source) {
        boolean isOwn = router.cancel(job, source);
        return originMessages.jobCancelled(job) || isOwn;
    }

    @Override
    public ImmutableList<JobId> toRepeat(CancelSource source) {
        return router.latestCancelled(source);
    }

    @Override
    public void cancelled(NodeId peer, JobId job, boolean known) {
        peers.recordAnswer(peer, job, known);
    }

    @Override
    public void unreachable(NodeId peer) {
        peers.recordUnreachable(peer);
    }
}
