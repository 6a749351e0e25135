package org.tarragonarch.benchmark.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.tarragonarch.core.queue.JobQueue;

/** The queue of a node's tasks: ordered by the core's fair queue, or first in, first out as a baseline. */
final class WorkQueue {
    private final boolean fair;
    private final JobQueue<Job> fairQueue = JobQueue.create();
    private final Deque<Job> arrivals = new ArrayDeque<>();

    WorkQueue(boolean fair) {
        this.fair = fair;
    }

    void add(Job job, int tasks, long expectedNanos) {
        fairQueue.add(job, job.team, 1, tasks, expectedNanos);
        for (int i = 0; i < tasks; i++) {
            arrivals.add(job);
        }
    }

    /** Puts a refused task back, in FIFO order at the head of the queue. */
    void addFirst(Job job, long expectedNanos) {
        fairQueue.add(job, job.team, 1, 1, expectedNanos);
        arrivals.addFirst(job);
    }

    Optional<Job> next() {
        return fair ? fairQueue.next(team -> true) : Optional.ofNullable(arrivals.peek());
    }

    void recordStarted(Job job) {
        fairQueue.taskStarted(job);
        if (!fair) {
            arrivals.remove();
        }
    }

    void remove(Job job) {
        fairQueue.remove(job);
        if (!fair) {
            arrivals.removeIf(job::equals);
        }
    }

    int queuedTasks() {
        return fairQueue.queuedTasks();
    }

    long nanosAhead(Job job, long jobNanos) {
        return fairQueue.expectedNanosAhead(job.team, 1, fair ? jobNanos : Long.MAX_VALUE);
    }
}
