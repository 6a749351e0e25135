package org.tarragonarch.core.queue;

/** The waiting tasks of one job. */
final class WaitingJob<J> {
    private final J job;
    private final TeamQueue<J> queue;
    private final long sequence;
    private int tasks;
    private long expectedNanos;

    WaitingJob(J job, TeamQueue<J> queue, long sequence) {
        this.job = job;
        this.queue = queue;
        this.sequence = sequence;
    }

    J job() {
        return job;
    }

    TeamQueue<J> queue() {
        return queue;
    }

    long sequence() {
        return sequence;
    }

    int tasks() {
        return tasks;
    }

    long expectedNanos() {
        return expectedNanos;
    }

    /** Returns the expected run time of all that waits, in nanoseconds of one slot. */
    long nanosLeft() {
        return tasks * expectedNanos;
    }

    void change(int addedTasks, long newExpectedNanos) {
        tasks += addedTasks;
        expectedNanos = newExpectedNanos;
    }
}
