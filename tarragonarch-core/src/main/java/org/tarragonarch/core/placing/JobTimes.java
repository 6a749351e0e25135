package org.tarragonarch.core.placing;

import org.tarragonarch.model.task.Offer;

/**
 * When a job has to be answered, on the holder's clock, in milliseconds.
 *
 * @param inTimeMillis by when it counts in full
 * @param lateMillis by when it still counts for something; a while from now if that is over already
 * @param deadlineMillis when its client leaves
 */
record JobTimes(long inTimeMillis, long lateMillis, long deadlineMillis) {
    /** A late answer still counts up to this multiple of the objective; the users' rules say so. */
    private static final int LATE_MULTIPLE = 3;

    /**
     * How long a job that was late when it was offered may wait for room that is about to be known. Endpoints are
     * opened within 50 ms; after this it is better given back than held.
     */
    private static final long LATE_PATIENCE_MILLIS = 250;

    static JobTimes of(Offer offer, long expectedRunMillis, long nowMillis) {
        long arrived = nowMillis - offer.ageMillis();
        long objective = Math.round(offer.queue().stretch() * expectedRunMillis)
                + offer.queue().objectiveMillis();
        long late = Math.max(arrived + LATE_MULTIPLE * objective, nowMillis + expectedRunMillis + LATE_PATIENCE_MILLIS);
        return new JobTimes(arrived + objective, late, nowMillis + offer.deadlineMillis());
    }

    /** Returns the time after which an answer is worth nothing to the client. */
    long expiryMillis() {
        return Math.min(lateMillis, deadlineMillis);
    }
}
