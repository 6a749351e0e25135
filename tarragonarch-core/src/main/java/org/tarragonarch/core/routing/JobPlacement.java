package org.tarragonarch.core.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.task.OfferTerms;
import org.tarragonarch.model.task.Timers;

/** Offers open jobs to one holder at a time, and refuses those that none may have soon. */
final class JobPlacement {
    /** How long a job waits for any holder at all: a takeover takes less. In milliseconds. */
    private static final long HOLDER_WAIT_MILLIS = 500;

    private final Holders holders;
    private final JobTable jobs;
    private final Timers timers;
    private final long runsLastMillis;
    private final RoutingObserver observer;

    /** Creates the placement of one node's jobs; see {@link JobRouter}. */
    JobPlacement(Holders holders, JobTable jobs, Timers timers, long runsLastMillis, RoutingObserver observer) {
        this.holders = holders;
        this.jobs = jobs;
        this.timers = timers;
        this.runsLastMillis = runsLastMillis;
        this.observer = observer;
    }

    /**
     * Offers a job to the next holder that may have it, or refuses it if there is none.
     *
     * <p>Where a shard is about to get its holder, a job that all others declined waits for that. When every node
     * starts at once the first holder is offered the jobs of all domains, and declines most of them 150 ms before the
     * others can take any.
     */
    void place(OpenJob job) {
        long now = timers.nowMillis();
        ImmutableList<Holder> inOrder = holders.inOrder();
        Optional<Holder> atOnce = job.nextToStartAtOnce(inOrder, holders, now, runsLastMillis);
        if (atOnce.isPresent()) {
            offer(job, atOnce.get(), OfferTerms.AT_ONCE);
            return;
        }
        boolean anyAllowedLater = false;
        for (Holder candidate : inOrder) {
            if (job.mayBeOfferedTo(candidate, holders, now, runsLastMillis)) {
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
        boolean toOwnDomain = holders.isOwn(to);
        if (terms == OfferTerms.AT_ONCE && !toOwnDomain) {
            observer.movedToNeighbour(job.id(), to.node());
        }
        job.sinceLossMillis(timers.nowMillis()).ifPresent(ago -> observer.offeredAgain(job.id(), to.node(), ago));
        job.offeredTo(to);
        holders.offer(to, job.offer(holders.own(), timers.nowMillis(), runsLastMillis, terms, toOwnDomain));
    }

    /** Takes back a job that its holder could not start at once. */
    void notStartedAtOnce(OpenJob job) {
        job.holder().filter(holder -> !holders.isOwn(holder)).ifPresent(neighbour -> {
            holders.notStartedAtOnce(neighbour, job.milliCores());
            observer.returnedByNeighbour(job.id(), neighbour.node());
        });
        job.notStartedAtOnce();
        placeOrRefuse(job);
    }

    private void placeIfUnheld(OpenJob job) {
        if (jobs.isOpen(job) && job.holder().isEmpty()) {
            place(job);
        }
    }

    private void refuseIfUnheld(OpenJob job) {
        if (jobs.isOpen(job) && job.holder().isEmpty() && !job.mayHaveRun()) {
            jobs.refuse(job, job.wasDeclined() ? job.soonestRetryMillis() : JobRouter.NO_HOLDER_RETRY_MILLIS);
        }
    }

    /** Takes back a job whose holder is gone; it waits until its runs are over unless a successor sees them. */
    void holderLost(OpenJob job) {
        job.holder().ifPresent(lost -> observer.holderLost(job.id(), lost.node()));
        ImmutableSet<FailureDomain> reach = job.holder().map(holders::reach).orElse(ImmutableSet.of());
        job.holderLost(reach, timers.nowMillis());
        timers.schedule(runsLastMillis, () -> placeIfUnheld(job));
        place(job);
    }

    /**
     * Takes back a job of which its holder has started nothing.
     *
     * <p>Where an earlier holder may have, it is treated like any other job of a lost holder: which of the two verdicts
     * of this one came last cannot be told if its connection broke in between.
     */
    void returned(OpenJob job) {
        if (job.mayHaveRun()) {
            holderLost(job);
            return;
        }
        job.returned();
        placeOrRefuse(job);
    }

    /** Looks for a holder, and refuses the job unless it has one soon. */
    void placeOrRefuse(OpenJob job) {
        timers.schedule(HOLDER_WAIT_MILLIS, () -> refuseIfUnheld(job));
        place(job);
    }
}
