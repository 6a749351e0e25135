package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.NodeId;

/**
 * A job that a node wants placed.
 *
 * @param job the job
 * @param queue the queue that it came by
 * @param asker the node that has the client's connection
 * @param ageMillis how long ago the job reached that node
 * @param deadlineMillis how long the client still waits
 * @param earlierRunsMillis how long tasks of it may still run that a lost holder started, 0 if none can
 */
public record Offer(
        JobRequest job,
        QueueDefinition queue,
        NodeId asker,
        long ageMillis,
        long deadlineMillis,
        long earlierRunsMillis) {
    /** Checks the parts. */
    public Offer {
        checkNotNull(job, "job");
        checkNotNull(queue, "queue");
        checkNotNull(asker, "asker");
        checkArgument(earlierRunsMillis >= 0, "earlierRunsMillis %s is negative", earlierRunsMillis);
    }

    /** Returns the same offer after a wait on this holder's side. */
    public Offer later(long millis) {
        long earlierRuns = Math.max(0, earlierRunsMillis - millis);
        return new Offer(job, queue, asker, ageMillis + millis, deadlineMillis - millis, earlierRuns);
    }
}
