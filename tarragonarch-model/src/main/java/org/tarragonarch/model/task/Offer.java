package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.NodeId;

/**
 * A job that a node wants placed on a shard.
 *
 * @param job the job
 * @param queue the queue that it came by
 * @param asker the node that has the client's connection
 * @param ageMillis how long ago the job reached that node
 * @param deadlineMillis how long the client still waits
 * @param repeated whether the job was offered before to a holder that was lost, so that tasks of it may still run
 */
public record Offer(
        JobRequest job, QueueDefinition queue, NodeId asker, long ageMillis, long deadlineMillis, boolean repeated) {
    /** Checks the parts. */
    public Offer {
        checkNotNull(job, "job");
        checkNotNull(queue, "queue");
        checkNotNull(asker, "asker");
    }

    /** Returns the same offer after a wait on this holder's side. */
    public Offer later(long millis) {
        return new Offer(job, queue, asker, ageMillis + millis, deadlineMillis - millis, repeated);
    }
}
