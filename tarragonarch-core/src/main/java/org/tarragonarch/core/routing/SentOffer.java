package org.tarragonarch.core.routing;

import org.tarragonarch.model.task.JobVerdict;
import org.tarragonarch.model.task.Offer;

/** The last offer of a job, and whether it or the verdict on it may have been lost with a connection. */
final class SentOffer {
    private final Offer offer;
    private final long atMillis;
    private boolean mayBeLost;
    private boolean wasSentAgain;

    /**
     * Creates an offer that is sent for the first time.
     *
     * @param atMillis the present time on the steady clock
     */
    SentOffer(Offer offer, long atMillis) {
        this.offer = offer;
        this.atMillis = atMillis;
    }

    boolean isAnsweredBy(JobVerdict verdict) {
        return offer.number().equals(verdict.offer());
    }

    void markMayBeLost() {
        mayBeLost = true;
    }

    boolean mayBeLost() {
        return mayBeLost;
    }

    /** Returns whether the offer was transmitted only once, so that it has not arrived if that failed. */
    boolean wasSentOnce() {
        return !mayBeLost && !wasSentAgain;
    }

    /** Returns the offer with its times adjusted, to be sent again. */
    Offer sendAgain(long nowMillis) {
        mayBeLost = false;
        wasSentAgain = true;
        return offer.afterWait(nowMillis - atMillis);
    }
}
