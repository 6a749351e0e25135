package org.tarragonarch.core.placing;

import org.tarragonarch.model.task.Offer;

/**
 * When a job has to be answered, on the holder's clock, in milliseconds.
 *
 * @param inTimeMillis by when it counts in full
 * @param lateMillis by when it still counts for something
 * @param deadlineMillis when its client leaves
 */
record JobTimes(long inTimeMillis, long lateMillis, long deadlineMillis) {
    /** A late answer still counts up to this multiple of the objective; the users' rules say so. */
    private static final int LATE_MULTIPLE = 3;

    static JobTimes of(Offer offer, long expectedRunMillis, long nowMillis) {
        long arrived = nowMillis - offer.ageMillis();
        long objective = Math.round(offer.queue().stretch() * expectedRunMillis)
                + offer.queue().objectiveMillis();
        return new JobTimes(
                arrived + objective, arrived + LATE_MULTIPLE * objective, nowMillis + offer.deadlineMillis());
    }

    /** Returns the time after which an answer is worth nothing to the client. */
    long lastUseMillis() {
        return Math.min(lateMillis, deadlineMillis);
    }
}
