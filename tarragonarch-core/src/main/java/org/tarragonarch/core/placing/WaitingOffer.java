package org.tarragonarch.core.placing;

import org.tarragonarch.model.task.Offer;

/**
 * An offer that waits at a holder.
 *
 * @param offer the offer as it arrived
 * @param sinceMillis the time of its arrival, on the holder's clock
 */
record WaitingOffer(Offer offer, long sinceMillis) {
    /** Returns the offer as if it arrived now: its age and remaining times adjusted by the wait. */
    Offer asOf(long nowMillis) {
        return offer.afterWait(nowMillis - sinceMillis);
    }
}
