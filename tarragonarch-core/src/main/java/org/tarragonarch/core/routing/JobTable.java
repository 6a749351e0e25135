package org.tarragonarch.core.routing;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.JobOutcome;
import org.tarragonarch.model.task.JobProgress;
import org.tarragonarch.model.task.JobReply;
import org.tarragonarch.model.task.Timers;

/** The open jobs of one node's clients, and the recent answers to closed ones. */
final class JobTable {
    private final Map<JobId, OpenJob> open = new LinkedHashMap<>();
    private final AnsweredJobs answered = new AnsweredJobs();
    private final FormerHolders formerHolders;

    JobTable(Timers timers) {
        formerHolders = new FormerHolders(timers);
    }

    void add(OpenJob job) {
        formerHolders.remove(job.id()).ifPresent(job::setFormerHolder);
        open.put(job.id(), job);
    }

    Optional<OpenJob> find(JobId id) {
        return Optional.ofNullable(open.get(id));
    }

    /** Returns the answer to a job that was answered recently. */
    Optional<JobReply> findAnswer(JobId id) {
        return answered.find(id);
    }

    boolean wasCancelled(JobId id) {
        return findAnswer(id)
                .filter(reply -> reply.outcome() == JobOutcome.CANCELLED)
                .isPresent();
    }

    boolean isOpen(OpenJob job) {
        return open.get(job.id()) == job;
    }

    /** Returns a copy of the open jobs, in order of arrival. */
    ImmutableList<OpenJob> all() {
        return ImmutableList.copyOf(open.values());
    }

    /** Returns the open jobs whose present holder is the given node, in order of arrival. */
    ImmutableList<OpenJob> heldBy(NodeId node) {
        return open.values().stream().filter(job -> job.isHeldBy(node)).collect(ImmutableList.toImmutableList());
    }

    /** Answers a job and closes it. */
    void answer(OpenJob job, JobReply reply) {
        open.remove(job.id());
        answered.add(job.id(), reply);
        if (!reply.outcome().isFinal()) {
            formerHolders.recordClosed(job);
        }
        job.answer(reply.withHolder(job.lastHolder()));
    }

    /** Answers a job that no holder accepts: as refused if it has certainly not run, otherwise as given up. */
    void refuse(OpenJob job, long retryMillis) {
        answer(job, job.mayHaveRun() ? JobReply.of(JobOutcome.GIVEN_UP) : JobReply.refused(retryMillis));
    }

    /** Removes a job without an answer, because no client waits for it. */
    void remove(OpenJob job) {
        open.remove(job.id());
        formerHolders.recordClosed(job);
    }

    int size() {
        return open.size();
    }

    /** Returns whether any job has no holder. */
    boolean hasJobWithoutHolder() {
        for (OpenJob job : open.values()) {
            if (job.holder().isEmpty()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the number of jobs of the queue that have no holder. */
    long countWithoutHolder(String queue) {
        return open.values().stream()
                .filter(job -> job.queue().name().equals(queue) && job.holder().isEmpty())
                .count();
    }

    /** Returns the progress of a job; empty if the job is unknown. */
    Optional<JobProgress> progress(JobId id) {
        OpenJob job = open.get(id);
        if (job != null) {
            return Optional.of(job.holder().isPresent() ? JobProgress.RUNNING : JobProgress.QUEUED);
        }
        return answered.find(id)
                .map(reply -> JobProgress.valueOf(reply.outcome().name()));
    }
}
