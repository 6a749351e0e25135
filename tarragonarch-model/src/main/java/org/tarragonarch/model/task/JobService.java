package org.tarragonarch.model.task;

import java.util.Optional;
import java.util.function.Consumer;

/** What a door for clients needs of the node behind it; called on the control thread alone. */
public interface JobService {
    /** Returns what is known of the queue that a request names by its host and path. */
    QueueLookup find(String host, String path);

    /**
     * Hands in a job; the reply comes once, on the same thread.
     *
     * @param deadlineMillis how long the client waits
     * @return the submission, which ends when its client leaves
     */
    Submission submit(QueueDefinition queue, JobRequest job, long deadlineMillis, Consumer<JobReply> reply);

    /** Cancels a job, at whatever node it is; the reply says whether any knew it. */
    void cancel(JobId job, Consumer<Boolean> known);

    /** Returns what is known of a job that has not been answered yet, or was lately. */
    Optional<JobProgress> progress(JobId job);

    /** Returns how many jobs of the queue wait at this node without a started task. */
    long waitingJobs(QueueDefinition queue);

    /** Returns whether the balancer should send new connections. */
    boolean isReady();

    /** Returns whether this node is about to stop, so that clients had better open their next connection elsewhere. */
    boolean isLeaving();

    /** One client's request for a job. */
    interface Submission {
        /** The client has left: the job is withdrawn if nobody else asked for it. */
        void clientLeft();
    }
}
