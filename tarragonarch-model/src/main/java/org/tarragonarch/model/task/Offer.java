package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkNotNull;

import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.report.StatusNumber;

/**
 * A job that its origin offers to a holder for placement.
 *
 * @param job the job
 * @param queue the queue of the job
 * @param origin the node that has the client's connection
 * @param number identifies the offer among those of the origin
 * @param ageMillis the time since the job reached the origin, in milliseconds
 * @param deadlineMillis how long the client still waits, in milliseconds
 * @param earlierRuns the runs of the job that a lost holder started and that may still be in progress
 * @param terms the condition under which the holder may accept the job
 * @param fromOwnDomain whether the origin is in a failure domain whose shard the holder has
 * @param lastStatus the number of the last status that the origin has received from the holder
 */
public record Offer(
        JobRequest job,
        QueueDefinition queue,
        NodeId origin,
        OfferNumber number,
        long ageMillis,
        long deadlineMillis,
        EarlierRuns earlierRuns,
        OfferTerms terms,
        boolean fromOwnDomain,
        StatusNumber lastStatus) {
    /** Checks that no component is null. */
    public Offer {
        checkNotNull(job, "job");
        checkNotNull(queue, "queue");
        checkNotNull(origin, "origin");
        checkNotNull(number, "number");
        checkNotNull(earlierRuns, "earlierRuns");
        checkNotNull(terms, "terms");
        checkNotNull(lastStatus, "lastStatus");
    }

    /** Creates an offer of an origin that has received no status of the holder. */
    public Offer(
            JobRequest job,
            QueueDefinition queue,
            NodeId origin,
            OfferNumber number,
            long ageMillis,
            long deadlineMillis,
            EarlierRuns earlierRuns,
            OfferTerms terms,
            boolean fromOwnDomain) {
        this(
                job,
                queue,
                origin,
                number,
                ageMillis,
                deadlineMillis,
                earlierRuns,
                terms,
                fromOwnDomain,
                StatusNumber.NONE);
    }

    /** Creates the first offer of an origin, of a job that may wait, to the holder of the origin's failure domain. */
    public Offer(
            JobRequest job,
            QueueDefinition queue,
            NodeId origin,
            long ageMillis,
            long deadlineMillis,
            EarlierRuns earlierRuns) {
        this(job, queue, origin, OfferNumber.of(1), ageMillis, deadlineMillis, earlierRuns, OfferTerms.MAY_WAIT, true);
    }

    /** Returns the same offer after a wait in milliseconds, with age, deadline and earlier runs adjusted. */
    public Offer afterWait(long millis) {
        return new Offer(
                job,
                queue,
                origin,
                number,
                ageMillis + millis,
                deadlineMillis - millis,
                earlierRuns.afterWait(millis),
                terms,
                fromOwnDomain,
                lastStatus);
    }

    /** Returns the same offer with the number of the last status that the origin has received from the holder. */
    public Offer withLastStatus(StatusNumber received) {
        return new Offer(
                job, queue, origin, number, ageMillis, deadlineMillis, earlierRuns, terms, fromOwnDomain, received);
    }
}
