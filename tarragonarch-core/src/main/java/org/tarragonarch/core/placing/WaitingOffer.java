package org.tarragonarch.core.placing;

import org.tarragonarch.model.task.Offer;

/**
 * An offer that waits at a holder.
 *
 * @param offer the offer as it came in
 * @param sinceMillis when it came in, on the holder's clock
 */
record WaitingOffer(Offer offer, long sinceMillis) {
    /** Returns the offer as it would be if it came in now. */
    Offer at(long nowMillis) {
        return offer.afterWait(nowMillis - sinceMillis);
    }
}
