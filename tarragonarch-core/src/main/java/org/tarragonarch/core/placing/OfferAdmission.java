package org.tarragonarch.core.placing;

import org.tarragonarch.model.task.Offer;

/**
 * Decides whether a holder takes a job under the terms of its offer.
 *
 * <p>A job from a client of another failure domain is admitted to start at once only while no job waits here, and only
 * if a reserve for own clients stays free. This guards against own clients that wait because a burst in another domain
 * has filled their endpoints.
 */
final class OfferAdmission {
    /**
     * The reserve for own clients, as the time for which it lasts at the recent rate of their jobs: about ten round
     * trips between failure domains. A reserve for 200 ms, one status period, would refuse nearly all jobs of a domain
     * that has 1.6 times its traffic.
     */
    private static final long RESERVE_MILLIS = 20;

    private final PendingShares pending;
    private final LocalUsage localUsage = new LocalUsage();

    OfferAdmission(PendingShares pending) {
        this.pending = pending;
    }

    /** Returns whether to admit a job; an admitted job of an own client is recorded as local usage. */
    boolean admit(PlacedJob job, CompletionEstimate estimate, long nowMillis) {
        Offer offer = job.offer();
        boolean admitted = offer.terms().permits(startsAtOnce(offer, estimate, nowMillis), estimate.isAdmissible());
        if (admitted && offer.fromOwnDomain()) {
            localUsage.add(offer.job().milliCores(), nowMillis);
        }
        return admitted;
    }

    private boolean startsAtOnce(Offer offer, CompletionEstimate estimate, long nowMillis) {
        if (!estimate.hasCapacityForAll()) {
            return false;
        }
        long remainingSlots = estimate.freeTaskSlots() - offer.job().step().count();
        if (offer.fromOwnDomain()) {
            return pending.waitingTasks() <= remainingSlots;
        }
        double remainingMilliCores =
                remainingSlots * (double) offer.job().step().perTask().milliCores();
        double reserve = localUsage.usedWithin(RESERVE_MILLIS, nowMillis);
        return pending.waitingTasks() == 0 && remainingSlots >= 0 && remainingMilliCores >= reserve;
    }
}
