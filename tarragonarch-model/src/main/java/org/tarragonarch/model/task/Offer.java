package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.NodeId;

/**
 * A job that a node wants placed.
 *
 * @param job the job
 * @param queue the queue that it came by
 * @param origin the node that has the client's connection
 * @param ageMillis how long ago the job reached that node
 * @param deadlineMillis how long the client still waits
 * @param earlierRuns what may still run of it that a lost holder started
 * @param terms under which condition the holder takes it
 * @param fromOwnDomain whether the origin is in a failure domain whose endpoints the holder has
 */
public record Offer(
        JobRequest job,
        QueueDefinition queue,
        NodeId origin,
        long ageMillis,
        long deadlineMillis,
        EarlierRuns earlierRuns,
        OfferTerms terms,
        boolean fromOwnDomain) {
    /** Checks the parts. */
    public Offer {
        checkNotNull(job, "job");
        checkNotNull(queue, "queue");
        checkNotNull(origin, "origin");
        checkNotNull(earlierRuns, "earlierRuns");
        checkNotNull(terms, "terms");
    }

    /** Creates an offer of a job that may wait, by a node of the holder's own failure domain. */
    public Offer(
            JobRequest job,
            QueueDefinition queue,
            NodeId origin,
            long ageMillis,
            long deadlineMillis,
            EarlierRuns earlierRuns) {
        this(job, queue, origin, ageMillis, deadlineMillis, earlierRuns, OfferTerms.MAY_WAIT, true);
    }

    /** Returns the same offer after a wait on this holder's side. */
    public Offer afterWait(long millis) {
        return new Offer(
                job,
                queue,
                origin,
                ageMillis + millis,
                deadlineMillis - millis,
                earlierRuns.afterWait(millis),
                terms,
                fromOwnDomain);
    }
}
