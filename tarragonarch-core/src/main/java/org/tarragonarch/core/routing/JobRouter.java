package org.tarragonarch.core.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.function.Consumer;
import org.tarragonarch.model.id.FailureDomain;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobOutcome;
import org.tarragonarch.model.task.JobProgress;
import org.tarragonarch.model.task.JobReply;
import org.tarragonarch.model.task.JobRequest;
import org.tarragonarch.model.task.JobService;
import org.tarragonarch.model.task.OfferTerms;
import org.tarragonarch.model.task.QueueDefinition;
import org.tarragonarch.model.task.Timers;
import org.tarragonarch.model.task.Verdict;

/**
 * Takes jobs from clients, hands each to one holder at a time, and answers it once.
 *
 * <p>A job is answered by the node that has its client's connection. If its holder is lost, it goes to the next holder
 * of the same shards, who finds what still runs; to any other only when those runs are certainly over.
 */
public final class JobRouter {
    /** An answer that leaves this long before the deadline still reaches the client, in milliseconds. */
    private static final long ANSWER_TRAVEL_MILLIS = 10;

    /** How long a job waits for any holder at all: a takeover takes less. In milliseconds. */
    private static final long HOLDER_WAIT_MILLIS = 500;

    /** When to come back if no shard has a holder, in milliseconds. */
    private static final long NO_HOLDER_RETRY_MILLIS = 1_000;

    private final Holders holders;
    private final Timers timers;
    private final long runsLastMillis;
    private final RoutingObserver observer;
    private final JobTable jobs;
    private boolean closed;

    /**
     * Creates a router without jobs.
     *
     * @param runsLastMillis how long what runs may go on after its holder last spoke, in milliseconds
     * @param observer is notified of jobs that are offered to other failure domains
     */
    public JobRouter(Holders holders, Timers timers, long runsLastMillis, RoutingObserver observer) {
        this.holders = checkNotNull(holders, "holders");
        this.timers = checkNotNull(timers, "timers");
        this.jobs = new JobTable(timers);
        this.runsLastMillis = runsLastMillis;
        this.observer = checkNotNull(observer, "observer");
    }

    /** Takes a job; see {@link JobService#submit}. */
    public JobService.Submission submit(
            QueueDefinition queue, JobRequest request, long deadlineMillis, Consumer<JobReply> client) {
        Optional<JobReply> given = jobs.findAnswer(request.id());
        if (given.isPresent()) {
            client.accept(given.get());
            return () -> {};
        }
        Optional<OpenJob> known = jobs.find(request.id());
        if (known.isEmpty() && closed) {
            client.accept(JobReply.refused(NO_HOLDER_RETRY_MILLIS));
            return () -> {};
        }
        known.ifPresent(job -> job.join(client));
        OpenJob job = known.orElseGet(() -> take(queue, request, deadlineMillis, client));
        return () -> left(job, client);
    }

    /** Cancels a job; returns whether it was open here or answered lately as cancelled. */
    public boolean cancel(JobId id) {
        Optional<OpenJob> job = jobs.find(id);
        if (job.isEmpty()) {
            return jobs.wasCancelled(id);
        }
        withdraw(job.get());
        jobs.answer(job.get(), JobReply.of(JobOutcome.CANCELLED));
        return true;
    }

    /** Takes a holder's verdict; one of a holder that no longer has the job is dropped. */
    public void settled(NodeId from, JobId id, Verdict verdict, long retryMillis) {
        jobs.find(id).filter(job -> job.isHeldBy(from)).ifPresent(job -> settled(job, verdict, retryMillis));
    }

    private void settled(OpenJob job, Verdict verdict, long retryMillis) {
        switch (verdict) {
            case DONE -> jobs.answer(job, JobReply.of(JobOutcome.DONE));
            case FAILED -> jobs.answer(job, JobReply.of(JobOutcome.FAILED));
            case DECLINED -> {
                job.declined(retryMillis);
                place(job);
            }
            case NOT_AT_ONCE -> notStartedAtOnce(job);
            case TOO_LATE -> jobs.answer(job, JobReply.of(JobOutcome.GIVEN_UP));
            case HOLD_LOST -> holderLost(job);
            case RETURNED -> returned(job);
            case EVICTED -> {
                job.evicted();
                place(job);
            }
            default -> throw new AssertionError(verdict);
        }
    }

    /** Takes back an offer that certainly never left. */
    public void notOffered(NodeId to, JobId id) {
        jobs.find(id).filter(job -> job.isHeldBy(to)).ifPresent(job -> {
            job.notOffered();
            placeOrRefuse(job);
        });
    }

    /** Notes that a node is not reachable any more. */
    public void nodeLost(NodeId node) {
        jobs.all().stream().filter(job -> job.isHeldBy(node)).forEach(this::holderLost);
    }

    /** Looks for holders for the jobs that have none; to be called whenever holders change. */
    public void holdersChanged() {
        for (OpenJob job : jobs.all()) {
            if (job.holder().isEmpty()) {
                job.holdersChanged();
                place(job);
            }
        }
    }

    /** Refuses every new job from now on, because this node is about to stop. */
    public void refuseNewJobs() {
        closed = true;
    }

    /** Returns whether new jobs are refused. */
    public boolean closed() {
        return closed;
    }

    /**
     * Answers every open job, because this node stops now.
     *
     * <p>A connection that breaks without an answer leaves its client to guess; this one tells it that the job is given
     * up. What runs is stopped by its holder.
     */
    public void giveUpAll() {
        jobs.all().forEach(this::giveUp);
    }

    /** Returns whether any job has no holder. */
    public boolean withoutHolder() {
        return jobs.isAnyUnheld();
    }

    /** Returns how many jobs are not answered. */
    public int openJobs() {
        return jobs.size();
    }

    /** Returns how many jobs of the queue no holder has taken. */
    public long waiting(String queue) {
        return jobs.unheld(queue);
    }

    /** Returns what is known of a job. */
    public Optional<JobProgress> progress(JobId id) {
        return jobs.progress(id);
    }

    private OpenJob take(QueueDefinition queue, JobRequest request, long deadlineMillis, Consumer<JobReply> client) {
        long now = timers.nowMillis();
        OpenJob job = new OpenJob(request, queue, now, now + deadlineMillis);
        job.join(client);
        jobs.add(job);
        timers.after(Math.max(0, deadlineMillis - ANSWER_TRAVEL_MILLIS), () -> giveUp(job));
        placeOrRefuse(job);
        return job;
    }

    /**
     * Offers a job to the next holder that may have it, or refuses it if there is none.
     *
     * <p>Where a shard is about to get its holder, a job that all others declined waits for that. When every node
     * starts at once the first holder is offered the jobs of all domains, and declines most of them 150 ms before the
     * others can take any.
     */
    private void place(OpenJob job) {
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
            jobs.refuse(job, NO_HOLDER_RETRY_MILLIS);
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
        job.offeredTo(to);
        holders.offer(to, job.offer(holders.own(), timers.nowMillis(), runsLastMillis, terms, toOwnDomain));
    }

    private void notStartedAtOnce(OpenJob job) {
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
            jobs.refuse(job, job.wasDeclined() ? job.soonestRetryMillis() : NO_HOLDER_RETRY_MILLIS);
        }
    }

    private void holderLost(OpenJob job) {
        ImmutableSet<FailureDomain> reach = job.holder().map(holders::reach).orElse(ImmutableSet.of());
        job.holderLost(reach, timers.nowMillis());
        timers.after(runsLastMillis, () -> placeIfUnheld(job));
        place(job);
    }

    /**
     * Takes back a job of which its holder has started nothing.
     *
     * <p>Where an earlier holder may have, it is treated like any other job of a lost holder: which of the two verdicts
     * of this one came last cannot be told if its connection broke in between.
     */
    private void returned(OpenJob job) {
        if (job.mayHaveRun()) {
            holderLost(job);
            return;
        }
        job.returned();
        placeOrRefuse(job);
    }

    /** Looks for a holder, and refuses the job unless it has one soon. */
    private void placeOrRefuse(OpenJob job) {
        timers.after(HOLDER_WAIT_MILLIS, () -> refuseIfUnheld(job));
        place(job);
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

    private void left(OpenJob job, Consumer<JobReply> client) {
        if (jobs.isOpen(job) && job.leave(client)) {
            withdraw(job);
            jobs.remove(job);
        }
    }

    private void withdraw(OpenJob job) {
        job.holder().ifPresent(holder -> holders.withdraw(holder, job.id()));
    }
}
