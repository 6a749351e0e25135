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

    /** When to come back if no shard has a holder, in milliseconds. */
    static final long NO_HOLDER_RETRY_MILLIS = 1_000;

    private final Holders holders;
    private final Timers timers;
    private final RoutingObserver observer;
    private final JobTable jobs;
    private final JobPlacement placement;
    private boolean closed;

    /**
     * Creates a router without jobs.
     *
     * @param runsLastMillis how long what runs may go on after this node has noticed the loss of its holder, which may
     *     renew it until it notices the loss of this node, in milliseconds
     * @param observer is notified of jobs that are offered to other failure domains
     */
    public JobRouter(Holders holders, Timers timers, long runsLastMillis, RoutingObserver observer) {
        this.holders = checkNotNull(holders, "holders");
        this.timers = checkNotNull(timers, "timers");
        this.jobs = new JobTable(timers);
        this.observer = checkNotNull(observer, "observer");
        this.placement = new JobPlacement(holders, jobs, timers, runsLastMillis, observer);
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
                placement.place(job);
            }
            case NOT_AT_ONCE -> placement.notStartedAtOnce(job);
            case TOO_LATE -> jobs.answer(job, JobReply.of(JobOutcome.GIVEN_UP));
            case HOLD_LOST -> placement.holderLost(job);
            case RETURNED -> placement.returned(job);
            case EVICTED -> {
                job.evicted();
                placement.place(job);
            }
            default -> throw new AssertionError(verdict);
        }
    }

    /** Takes back an offer that certainly never left. */
    public void notOffered(NodeId to, JobId id) {
        jobs.find(id).filter(job -> job.isHeldBy(to)).ifPresent(job -> {
            job.notOffered();
            placement.placeOrRefuse(job);
        });
    }

    /**
     * Notes that a node is not reachable any more; returns whether it had jobs of this one.
     *
     * <p>It may live and miss this node only later than the jobs are offered again. Whatever is sent to it opens a
     * connection, on which it learns that they are not open there any more.
     */
    public boolean nodeLost(NodeId node) {
        ImmutableList<OpenJob> lost =
                jobs.all().stream().filter(job -> job.isHeldBy(node)).collect(ImmutableList.toImmutableList());
        lost.forEach(placement::holderLost);
        return !lost.isEmpty();
    }

    /** Looks for holders for the jobs that have none; to be called whenever holders change. */
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

    /** Returns the jobs that the holder has by what this node has offered, withdrawn and been told. */
    public ImmutableSet<JobId> openAt(NodeId holder) {
        return jobs.all().stream()
                .filter(job -> job.isHeldBy(holder))
                .map(OpenJob::id)
                .collect(ImmutableSet.toImmutableSet());
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
        timers.schedule(Math.max(0, deadlineMillis - ANSWER_TRAVEL_MILLIS), () -> giveUp(job));
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

    private void left(OpenJob job, Consumer<JobReply> client) {
        if (jobs.isOpen(job) && job.leave(client)) {
            job.holder().ifPresent(holder -> observer.clientsLeft(job.id(), holder.node()));
            withdraw(job);
            jobs.remove(job);
        }
    }

    private void withdraw(OpenJob job) {
        job.holder().ifPresent(holder -> holders.withdraw(holder, job.id()));
    }
}
