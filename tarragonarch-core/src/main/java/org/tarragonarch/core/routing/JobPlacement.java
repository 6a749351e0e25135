package org.tarragonarch.core.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.task.OfferTerms;
import org.tarragonarch.model.task.Timers;

/** Offers each open job to one holder at a time, and refuses jobs that no holder can take soon. */
final class JobPlacement {
    /** The time that a job waits for a holder, in milliseconds; longer than a takeover takes. */
    private static final long HOLDER_WAIT_MILLIS = 500;

    private final Holders holders;
    private final JobTable jobs;
    private final Timers timers;
    private final long maxRunMillisAfterContact;
    private final OfferNumbers numbers;
    private final RoutingObserver observer;

    /** Creates the placement of one node's jobs; see {@link JobRouter#JobRouter} for the parameters. */
    JobPlacement(
            Holders holders,
            JobTable jobs,
            Timers timers,
            long maxRunMillisAfterContact,
            OfferNumbers numbers,
            RoutingObserver observer) {
        this.holders = holders;
        this.jobs = jobs;
        this.timers = timers;
        this.maxRunMillisAfterContact = maxRunMillisAfterContact;
        this.numbers = numbers;
        this.observer = observer;
    }

    /**
     * Offers a job to the next permitted holder, or refuses it if there is none.
     *
     * <p>While a shard is expected to be claimed shortly, a job that every other holder declined waits for it. Guards
     * against refusals when all nodes start at the same time: the first holder is offered the jobs of all domains and
     * declines most of them 150 ms before the other holders can take any.
     */
    void place(OpenJob job) {
        long now = timers.nowMillis();
        ImmutableList<Holder> inOrder = holders.inPreferenceOrder();
        Optional<Holder> atOnce = job.nextImmediateStartHolder(inOrder, holders, now, maxRunMillisAfterContact);
        if (atOnce.isPresent()) {
            offer(job, atOnce.get(), OfferTerms.AT_ONCE);
            return;
        }
        boolean anyAllowedLater = false;
        for (Holder candidate : inOrder) {
            if (job.mayBeOfferedTo(candidate, holders, now, maxRunMillisAfterContact)) {
                offer(job, candidate, OfferTerms.MAY_WAIT);
                return;
            }
            anyAllowedLater |= job.mayBeOfferedLaterTo(candidate);
        }
        if (!job.mayHaveRun() && holders.isHolderUnreachable()) {
            jobs.refuse(job, JobRouter.NO_HOLDER_RETRY_MILLIS);
            return;
        }
        boolean mayWait = holders.isHolderExpected() && job.ageMillis(now) < HOLDER_WAIT_MILLIS;
        if (job.wasDeclined() && !anyAllowedLater && !mayWait) {
            jobs.refuse(job, job.soonestRetryMillis());
        }
    }

    private void offer(OpenJob job, Holder to, OfferTerms terms) {
        boolean toOwnDomain = holders.holdsOwnDomain(to);
        if (terms == OfferTerms.AT_ONCE && !toOwnDomain) {
            observer.movedToNeighbour(job.id(), to.node());
        }
        job.sinceLossMillis(timers.nowMillis()).ifPresent(ago -> observer.offeredAgain(job.id(), to.node(), ago));
        job.markOfferedTo(to);
        holders.offer(
                to,
                job.offer(
                        holders.ownNode(),
                        numbers.next(),
                        timers.nowMillis(),
                        maxRunMillisAfterContact,
                        terms,
                        toOwnDomain));
    }

    /** Offers a job elsewhere after its holder could not start it at once. */
    void handleNotStartedAtOnce(OpenJob job) {
        job.holder().filter(holder -> !holders.holdsOwnDomain(holder)).ifPresent(neighbour -> {
            holders.notStartedAtOnce(neighbour, job.milliCores());
            observer.returnedByNeighbour(job.id(), neighbour.node());
        });
        job.markNotStartedAtOnce();
        placeOrRefuse(job);
    }

    private void placeIfWithoutHolder(OpenJob job) {
        if (jobs.isOpen(job) && job.holder().isEmpty()) {
            place(job);
        }
    }

    private void refuseIfWithoutHolder(OpenJob job) {
        if (jobs.isOpen(job) && job.holder().isEmpty() && !job.mayHaveRun()) {
            jobs.refuse(job, job.wasDeclined() ? job.soonestRetryMillis() : JobRouter.NO_HOLDER_RETRY_MILLIS);
        }
    }

    /** Offers a job again after its holder has lost the shards; not to that holder until its status shows new ones. */
    void handleHoldLost(OpenJob job) {
        job.excludeHolder();
        handleHolderLost(job, timers.nowMillis());
    }

    /**
     * Offers a job again after its holder was lost.
     *
     * <p>The job goes to a successor that finds its runs; to any other holder only once those runs are over.
     */
    void handleHolderLost(OpenJob job) {
        handleHolderLost(job, job.holder().map(holders::lastContactMillis).orElseGet(timers::nowMillis));
    }

    private void handleHolderLost(OpenJob job, long lastContactMillis) {
        job.holder().ifPresent(lost -> observer.holderLost(job.id(), lost.node()));
        ImmutableSet<FailureDomain> shards =
                job.holder().map(holders::shardsWithPossibleRuns).orElse(ImmutableSet.of());
        long now = timers.nowMillis();
        job.markHolderLost(shards, now, lastContactMillis);
        timers.schedule(lastContactMillis + maxRunMillisAfterContact - now, () -> placeIfWithoutHolder(job));
        place(job);
    }

    /**
     * Offers a job elsewhere after its holder returned it without having started any of it.
     *
     * <p>If an earlier holder may have started it, the job is handled like that of a lost holder: if the connection to
     * the present holder broke between its two verdicts, their order is unknown.
     */
    void handleReturned(OpenJob job) {
        if (job.mayHaveRun()) {
            handleHoldLost(job);
            return;
        }
        job.markReturned();
        placeOrRefuse(job);
    }

    /** Places a job, and refuses it if it has no holder after {@link #HOLDER_WAIT_MILLIS}. */
    void placeOrRefuse(OpenJob job) {
        timers.schedule(HOLDER_WAIT_MILLIS, () -> refuseIfWithoutHolder(job));
        place(job);
    }
}
