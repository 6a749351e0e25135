package org.tarragonarch.core.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.function.Consumer;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobOutcome;
import org.tarragonarch.model.task.JobProgress;
import org.tarragonarch.model.task.JobReply;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.JobService;
import org.tarragonarch.model.task.JobVerdict;
import org.tarragonarch.model.task.Offer;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.Timers;
import org.tarragonarch.model.task.Verdict;

/**
 * Accepts jobs from clients, offers each to one holder at a time, and answers it once.
 *
 * <p>The origin, which has the client's connection, answers the job. If the holder is lost, the job is offered to the
 * next holder of the same shards, which finds the runs that are still under way; it is offered to any other holder only
 * once those runs are certainly over.
 */
public final class JobRouter {
    /** How long before its deadline a job is given up so that the answer reaches the client, in milliseconds. */
    private static final long ANSWER_TRANSIT_MILLIS = 10;

    /** The retry delay that clients are given if no holder is reachable, in milliseconds. */
    static final long NO_HOLDER_RETRY_MILLIS = 1_000;

    private final Holders holders;
    private final Timers timers;
    private final RoutingObserver observer;
    private final JobTable jobs;
    private final CancelledJobs cancelled;
    private final JobPlacement placement;
    private boolean refusesNewJobs;

    /**
     * Creates a router without jobs.
     *
     * @param maxRunMillisAfterContact the longest time that runs continue after this node last heard from their
     *     holder, in milliseconds
     * @param startMillis the time of day in milliseconds since 1970, from which the offers are numbered
     * @param cancelled the jobs that clients have cancelled, through whichever node
     * @param observer observer of jobs that are offered to other failure domains, lost or offered again
     */
    public JobRouter(
            Holders holders,
            Timers timers,
            long maxRunMillisAfterContact,
            long startMillis,
            CancelledJobs cancelled,
            RoutingObserver observer) {
        this.holders = checkNotNull(holders, "holders");
        this.timers = checkNotNull(timers, "timers");
        this.jobs = new JobTable(timers);
        this.cancelled = checkNotNull(cancelled, "cancelled");
        this.observer = checkNotNull(observer, "observer");
        OfferNumbers numbers = new OfferNumbers(startMillis);
        this.placement = new JobPlacement(holders, jobs, timers, maxRunMillisAfterContact, numbers, observer);
    }

    /** Accepts a job; see {@link JobService#submit}. */
    public JobService.Submission submit(
            QueueDefinition queue, JobRequest request, long deadlineMillis, Consumer<JobReply> client) {
        Optional<JobReply> given = jobs.findAnswer(request.id());
        if (given.isPresent()) {
            client.accept(given.get());
            return () -> {};
        }
        if (cancelled.contains(request.id())) {
            client.accept(JobReply.of(JobOutcome.CANCELLED));
            return () -> {};
        }
        Optional<OpenJob> known = jobs.find(request.id());
        if (known.isEmpty() && refusesNewJobs) {
            client.accept(JobReply.refused(NO_HOLDER_RETRY_MILLIS));
            return () -> {};
        }
        known.ifPresent(job -> job.addClient(client));
        OpenJob job = known.orElseGet(() -> open(queue, request, deadlineMillis, client));
        return () -> clientLeft(job, client);
    }

    /**
     * Cancels a job that this node's clients may have submitted or may submit again.
     *
     * @return whether it was open, or its recent answer says that it was cancelled
     */
    public boolean cancel(JobId id, CancelSource source) {
        cancelled.add(id, source);
        return close(id);
    }

    /** Returns whether a client has cancelled the job recently, through whichever node. */
    public boolean isCancelled(JobId id) {
        return cancelled.contains(id);
    }

    /** Returns the jobs whose cancellations of this source to repeat to a peer that may have missed them. */
    public ImmutableList<JobId> latestCancelled(CancelSource source) {
        return cancelled.latest(source);
    }

    private boolean close(JobId id) {
        Optional<OpenJob> job = jobs.find(id);
        if (job.isEmpty()) {
            return jobs.wasCancelled(id);
        }
        withdraw(job.get());
        jobs.answer(job.get(), JobReply.of(JobOutcome.CANCELLED));
        return true;
    }

    /** Handles a holder's verdict; one that does not answer the current offer of the job is ignored. */
    public void settled(NodeId from, JobVerdict verdict) {
        jobs.find(verdict.job())
                .filter(job -> job.isAnsweredBy(from, verdict))
                .ifPresent(job -> settled(job, verdict.verdict(), verdict.retryMillis()));
    }

    private void settled(OpenJob job, Verdict verdict, long retryMillis) {
        switch (verdict) {
            case DONE -> jobs.answer(job, JobReply.of(JobOutcome.DONE));
            case FAILED -> jobs.answer(job, JobReply.of(JobOutcome.FAILED));
            case DECLINED -> {
                job.markDeclined(retryMillis);
                placement.place(job);
            }
            case NOT_AT_ONCE -> placement.handleNotStartedAtOnce(job);
            case TOO_LATE -> jobs.answer(job, JobReply.of(JobOutcome.GIVEN_UP));
            case HOLD_LOST -> placement.handleHoldLost(job);
            case RETURNED -> placement.handleReturned(job);
            case EVICTED -> {
                job.markEvicted();
                placement.place(job);
            }
            default -> throw new AssertionError(verdict);
        }
    }

    /**
     * Offers a job elsewhere after its offer was certainly not sent. If an earlier transmission of the offer may have
     * arrived, the job stays with its holder, and the offer is sent again on the next connection.
     */
    public void offerNotSent(NodeId to, JobId id) {
        jobs.find(id).filter(job -> job.isHeldBy(to)).ifPresent(job -> {
            if (job.lastOffer().wasSentOnce()) {
                observer.offerNotSent(id, to);
                placement.handleReturned(job);
            } else {
                job.lastOffer().markMayBeLost();
            }
        });
    }

    /** Records that offers to a node, and verdicts on them, may have been lost with a connection. */
    public void connectionLost(NodeId node) {
        jobs.heldBy(node).forEach(job -> job.lastOffer().markMayBeLost());
    }

    /**
     * Returns the offers that may have been lost with a connection, to be sent to the node on a new connection.
     *
     * <p>The holder continues a job that it has, repeats a verdict that it has given, and otherwise places the job.
     */
    public ImmutableList<Offer> offersToSendAgain(NodeId node) {
        ImmutableList<Offer> offers = jobs.heldBy(node).stream()
                .map(OpenJob::lastOffer)
                .filter(SentOffer::mayBeLost)
                .map(offer -> offer.sendAgain(timers.nowMillis()).withLastStatus(holders.lastStatus(node)))
                .collect(ImmutableList.toImmutableList());
        if (!offers.isEmpty()) {
            observer.offersSentAgain(node, offers.size());
        }
        return offers;
    }

    /**
     * Handles the loss of a node; returns whether it held jobs of this node's clients.
     *
     * <p>The lost node may still run, and may detect the loss of this node only after the jobs are offered again. The
     * caller should send it a message: this opens a connection, whose first frame lists the jobs that are still open
     * there.
     */
    public boolean nodeLost(NodeId node) {
        ImmutableList<OpenJob> lost = jobs.heldBy(node);
        lost.forEach(placement::handleHolderLost);
        return !lost.isEmpty();
    }

    /** Places the jobs that have no holder; must be called whenever holders change. */
    public void holdersChanged() {
        for (OpenJob job : jobs.all()) {
            if (job.holder().isEmpty()) {
                job.holdersChanged();
                placement.place(job);
            }
        }
    }

    /** Refuses every new job from now on, because this node is about to stop. */
    public void refuseNewJobs() {
        refusesNewJobs = true;
    }

    /** Returns whether new jobs are refused. */
    public boolean refusesNewJobs() {
        return refusesNewJobs;
    }

    /**
     * Withdraws and answers every open job, because this node is about to stop.
     *
     * <p>Guards against connections that close without an answer, which leave the client in doubt about its job. The
     * holders stop the runs.
     */
    public void giveUpAll() {
        jobs.all().forEach(this::giveUp);
    }

    /** Returns the open jobs whose present holder is the given node, as far as this node knows. */
    public ImmutableSet<JobId> openJobsAt(NodeId holder) {
        return jobs.heldBy(holder).stream().map(OpenJob::id).collect(ImmutableSet.toImmutableSet());
    }

    /** Returns whether any job has no holder. */
    public boolean hasJobWithoutHolder() {
        return jobs.hasJobWithoutHolder();
    }

    /** Returns the number of open jobs. */
    public int openJobs() {
        return jobs.size();
    }

    /** Returns the number of open jobs of the queue that have no holder. */
    public long waitingJobs(String queue) {
        return jobs.countWithoutHolder(queue);
    }

    /** Returns the progress of a job; empty if the job is unknown. */
    public Optional<JobProgress> progress(JobId id) {
        return jobs.progress(id);
    }

    private OpenJob open(QueueDefinition queue, JobRequest request, long deadlineMillis, Consumer<JobReply> client) {
        long now = timers.nowMillis();
        OpenJob job = new OpenJob(request, queue, now, now + deadlineMillis);
        job.addClient(client);
        jobs.add(job);
        timers.schedule(Math.max(0, deadlineMillis - ANSWER_TRANSIT_MILLIS), () -> giveUp(job));
        placement.placeOrRefuse(job);
        return job;
    }

    private void giveUp(OpenJob job) {
        if (!jobs.isOpen(job)) {
            return;
        }
        withdraw(job);
        if (job.holder().isPresent()) {
            jobs.answer(job, JobReply.of(JobOutcome.GIVEN_UP));
        } else {
            jobs.refuse(job, 0);
        }
    }

    private void clientLeft(OpenJob job, Consumer<JobReply> client) {
        if (jobs.isOpen(job) && job.removeClient(client)) {
            job.holder().ifPresent(holder -> observer.clientsLeft(job.id(), holder.node()));
            withdraw(job);
            jobs.remove(job);
        }
    }

    private void withdraw(OpenJob job) {
        job.holder().ifPresent(holder -> holders.withdraw(holder, job.id()));
    }
}
