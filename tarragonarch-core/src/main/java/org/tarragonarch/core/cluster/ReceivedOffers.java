package org.tarragonarch.core.cluster;

import java.util.Map;
import java.util.Optional;
import org.tarragonarch.model.collect.BoundedMaps;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobVerdict;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.OfferNumber;
import org.tarragonarch.model.task.Timers;
import org.tarragonarch.model.task.Verdict;

/**
 * The last offer of each job that this node received, with the verdict on it, which outlives the holding of shards.
 *
 * <p>Offers are idempotent: one that its origin sends again, because it or the verdict may have been lost with a
 * connection, gets the same verdict again. The number of jobs is bounded: at 4,000 jobs per second, a holder remembers
 * those of the last 16 s, which is longer than clients wait.
 */
final class ReceivedOffers {
    private static final int MAX_JOBS = 65_536;

    private final Timers timers;
    private final long maxRunMillisAfterLoss;
    private final Map<JobId, ReceivedOffer> offers = BoundedMaps.evictingEldest(MAX_JOBS);

    /**
     * Creates an empty table.
     *
     * @param maxRunMillisAfterLoss the longest time that runs continue after this node has lost its shards, in
     *     milliseconds
     */
    ReceivedOffers(Timers timers, long maxRunMillisAfterLoss) {
        this.timers = timers;
        this.maxRunMillisAfterLoss = maxRunMillisAfterLoss;
    }

    /** Records an offer; returns the verdict on it if it is known already, so that the job must not be placed. */
    Optional<JobVerdict> record(Offer offer) {
        JobId job = offer.job().id();
        ReceivedOffer known = offers.get(job);
        if (known != null && known.origin().equals(offer.origin())) {
            Optional<JobVerdict> verdict = known.verdictOn(offer, timers.nowMillis() - maxRunMillisAfterLoss);
            if (verdict.isPresent()) {
                return verdict;
            }
        }
        boolean receivedBefore = known != null && known.isOf(offer);
        offers.remove(job);
        offers.put(job, new ReceivedOffer(offer.origin(), offer.number(), receivedBefore, Optional.empty(), 0));
        return Optional.empty();
    }

    /** Removes the last offer of a cancelled job, unless it has a verdict; returns its origin. */
    Optional<NodeId> removeCancelled(JobId job) {
        Optional<ReceivedOffer> open = Optional.ofNullable(offers.get(job))
                .filter(known -> known.verdict().isEmpty());
        open.ifPresent(offer -> offers.remove(job));
        return open.map(ReceivedOffer::origin);
    }

    /**
     * Records the verdict on the last offer of a job; returns the verdict to send.
     *
     * <p>Empty if the offer has a verdict already, or is no longer known.
     */
    Optional<JobVerdict> settle(NodeId origin, JobId job, Verdict verdict, long retryMillis) {
        ReceivedOffer known = offers.get(job);
        if (known == null || !known.origin().equals(origin) || known.verdict().isPresent()) {
            return Optional.empty();
        }
        Verdict truthful = known.receivedBefore() ? verdict.afterPossibleStart() : verdict;
        Optional<JobVerdict> settled = Optional.of(new JobVerdict(job, known.number(), truthful, retryMillis));
        offers.replace(
                job, new ReceivedOffer(origin, known.number(), known.receivedBefore(), settled, timers.nowMillis()));
        return settled;
    }

    /**
     * An offer.
     *
     * @param receivedBefore whether the offer was received more than once before it was settled, so that tasks of the
     *     job may have been started and stopped in between
     * @param verdict the verdict on the offer; empty while there is none
     * @param settledAtMillis the time of the verdict on the steady clock
     */
    private record ReceivedOffer(
            NodeId origin,
            OfferNumber number,
            boolean receivedBefore,
            Optional<JobVerdict> verdict,
            long settledAtMillis) {
        boolean isOf(Offer offer) {
            return origin.equals(offer.origin()) && number.equals(offer.number());
        }

        /** Returns the verdict on an offer of the same job and origin as far as this one determines it. */
        Optional<JobVerdict> verdictOn(Offer offer, long runsEndedBeforeMillis) {
            return verdict.filter(known -> isOf(offer) || determinesLater(known, offer, runsEndedBeforeMillis))
                    .map(known -> new JobVerdict(known.job(), offer.number(), known.verdict(), known.retryMillis()));
        }

        /**
         * Returns whether a verdict holds for a later offer too: the job has ended, or its runs were left to the next
         * holder and may still be in progress, which the origin did not know when it offered the job.
         */
        private boolean determinesLater(JobVerdict known, Offer offer, long runsEndedBeforeMillis) {
            return switch (known.verdict()) {
                case DONE, FAILED -> true;
                case HOLD_LOST -> offer.earlierRuns().isOver() && settledAtMillis > runsEndedBeforeMillis;
                default -> false;
            };
        }
    }
}
