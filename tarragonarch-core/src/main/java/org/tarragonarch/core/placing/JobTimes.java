package org.tarragonarch.core.placing;

import org.tarragonarch.model.task.Offer;

/**
 * The times by which a job has to be answered, on the holder's clock, in milliseconds.
 *
 * @param inTimeMillis the end of its objective
 * @param lateMillis the time until which a late answer still has value; at least shortly after now
 * @param deadlineMillis its client's deadline
 */
record JobTimes(long inTimeMillis, long lateMillis, long deadlineMillis) {
    /** A late answer has value up to this multiple of the objective, as defined by the users. */
    private static final int LATE_MULTIPLE = 3;

    /**
     * The time for which a job that is offered late may wait for endpoints that are initializing. They take up to 50
     * ms; a job that waits for longer should go to another holder.
     */
    private static final long LATE_PATIENCE_MILLIS = 250;

    static JobTimes of(Offer offer, long expectedRunMillis, long nowMillis) {
        long arrived = nowMillis - offer.ageMillis();
        long objective = Math.round(offer.queue().stretch() * expectedRunMillis)
                + offer.queue().objectiveMillis();
        long late = Math.max(arrived + LATE_MULTIPLE * objective, nowMillis + expectedRunMillis + LATE_PATIENCE_MILLIS);
        return new JobTimes(arrived + objective, late, nowMillis + offer.deadlineMillis());
    }

    /** Returns the time after which an answer has no value to the client. */
    long expiryMillis() {
        return Math.min(lateMillis, deadlineMillis);
    }
}
