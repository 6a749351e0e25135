package org.tarragonarch.core.placing;

import org.tarragonarch.model.task.Offer;

/**
 * Decides whether a holder takes a job under the terms of its offer.
 *
 * <p>A job of another failure domain's client starts at once only while none waits here, and only if what own clients
 * have lately asked for stays free. Guards against own clients that wait because a neighbour's burst has filled their
 * endpoints.
 */
final class OfferAdmission {
    /**
     * The span of own use that stays free, in milliseconds: some ten round trips between failure domains.
     *
     * <p>Own use counts each start, also of tasks that run shorter than the span. With 200 ms, one status period, 682
     * of 683 offers were given back when one domain of three got 1.6 times its traffic.
     */
    private static final long RESERVE_MILLIS = 20;

    private final PendingShares pending;
    private final OwnUse ownUse = new OwnUse();

    OfferAdmission(PendingShares pending) {
        this.pending = pending;
    }

    /** Returns whether the job is taken; what own clients take is counted as their use. */
    boolean takes(PlacedJob job, CompletionEstimate estimate, long nowMillis) {
        Offer offer = job.offer();
        boolean taken = offer.terms().permits(startsAtOnce(offer, estimate, nowMillis), estimate.isAdmissible());
        if (taken && offer.fromOwnDomain()) {
            ownUse.add(offer.job().milliCores(), nowMillis);
        }
        return taken;
    }

    private boolean startsAtOnce(Offer offer, CompletionEstimate estimate, long nowMillis) {
        if (!estimate.roomForAll()) {
            return false;
        }
        long left = estimate.freePlaces() - offer.job().step().count();
        if (offer.fromOwnDomain()) {
            return pending.waitingTasks() <= left;
        }
        double leftMilliCores = left * (double) offer.job().step().perTask().milliCores();
        double reserve = ownUse.within(RESERVE_MILLIS, nowMillis);
        return pending.waitingTasks() == 0 && left >= 0 && leftMilliCores >= reserve;
    }
}
