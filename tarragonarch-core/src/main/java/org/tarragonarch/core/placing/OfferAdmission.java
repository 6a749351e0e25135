package org.tarragonarch.core.placing;

import org.tarragonarch.model.task.Offer;

/**
 * Decides whether a holder takes a job under the terms of its offer.
 *
 * <p>A job of another failure domain's client starts at once only while no job waits here, and only if a reserve for
 * own clients stays free. Guards against own clients that wait because a neighbour's burst has filled their endpoints.
 */
final class OfferAdmission {
    /**
     * The reserve for own clients, as the time for which it lasts at the recent rate of their jobs: about ten round
     * trips between failure domains. A reserve for 200 ms, one status period, turns away nearly all jobs of a neighbour
     * that has 1.6 times its traffic.
     */
    private static final long RESERVE_MILLIS = 20;

    private final PendingShares pending;
    private final OwnUse ownUse = new OwnUse();

    OfferAdmission(PendingShares pending) {
        this.pending = pending;
    }

    /** Decides on a job; a job of an own client that is taken is recorded as own use. */
    boolean admit(PlacedJob job, CompletionEstimate estimate, long nowMillis) {
        Offer offer = job.offer();
        boolean taken = offer.terms().permits(startsAtOnce(offer, estimate, nowMillis), estimate.isAdmissible());
        if (taken && offer.fromOwnDomain()) {
            ownUse.add(offer.job().milliCores(), nowMillis);
        }
        return taken;
    }

    private boolean startsAtOnce(Offer offer, CompletionEstimate estimate, long nowMillis) {
        if (!estimate.hasCapacityForAll()) {
            return false;
        }
        long left = estimate.freeTaskSlots() - offer.job().step().count();
        if (offer.fromOwnDomain()) {
            return pending.waitingTasks() <= left;
        }
        double leftMilliCores = left * (double) offer.job().step().perTask().milliCores();
        double reserve = ownUse.within(RESERVE_MILLIS, nowMillis);
        return pending.waitingTasks() == 0 && left >= 0 && leftMilliCores >= reserve;
    }
}
