package org.tarragonarch.model.task;

import java.util.Optional;
import java.util.function.Consumer;

/** The operations that a client-facing server needs from the node; called on the control thread only. */
public interface JobService {
    /** Looks up the queue of a request by its host and path. */
    QueueLookup find(String host, String path);

    /**
     * Submits a job, which is answered once, on the same thread.
     *
     * @param deadlineMillis how long the client waits, in milliseconds
     * @return the submission, to be notified if the client disconnects
     */
    Submission submit(QueueDefinition queue, JobRequest job, long deadlineMillis, Consumer<JobReply> reply);

    /** Notifies that a job was not submitted, because its client had disconnected before its request was read. */
    void submissionDropped(JobId job);

    /** Cancels a job at whichever node has it; the reply tells whether any node knew the job. */
    void cancel(JobId job, Consumer<Boolean> known);

    /** Returns the progress of a job that is not yet answered or was answered recently; empty if it is unknown. */
    Optional<JobProgress> progress(JobId job);

    /** Returns the number of jobs of the queue that wait at this node without a started task. */
    long waitingJobs(QueueDefinition queue);

    /** Returns whether the balancer should send new connections to this node. */
    boolean isReady();

    /** Returns whether this node is about to stop, so that clients should open new connections to other nodes. */
    boolean isLeaving();

    /** The request of one client for a job. */
    interface Submission {
        /** Notifies that the client disconnected; the job is withdrawn if no other client waits for it. */
        void clientLeft();
    }
}
