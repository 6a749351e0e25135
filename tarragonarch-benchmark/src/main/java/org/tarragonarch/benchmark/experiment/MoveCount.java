package org.tarragonarch.benchmark.experiment;

import org.tarragonarch.core.shard.ShardObserver;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;

/** Counts offers to other failure domains over all nodes of a run. */
final class MoveCount implements ShardObserver {
    private int moved;
    private int movedBack;

    @Override
    public void movedToNeighbour(JobId job, NodeId holder) {
        moved++;
    }

    @Override
    public void returnedByNeighbour(JobId job, NodeId holder) {
        movedBack++;
    }

    /** Returns how often a job was offered to another failure domain to start at once. */
    int moved() {
        return moved;
    }

    /** Returns how often such an offer was declined. */
    int movedBack() {
        return movedBack;
    }
}
