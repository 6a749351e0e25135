package org.tarragonarch.core.queue;

/** The waiting tasks of one job, and its position among the jobs of its team. */
final class WaitingJob<J> {
    /**
     * The amount of later work that may overtake a job, as a multiple of the work by which the later job is smaller.
     *
     * <p>Without a bound the smallest job would always come first, and under steady load a job that is larger, or was
     * estimated to be before run times were recorded, would be overtaken until its deadline.
     */
    private static final long OVERTAKING_FACTOR = 4;

    private final J job;
    private final TeamQueue<J> queue;
    private final long sequence;
    private final long teamWorkAtArrival;
    private int tasks;
    private long expectedNanos;

    /** Creates a job without tasks that arrives now, as measured by the work that its team has started. */
    WaitingJob(J job, TeamQueue<J> queue, long sequence) {
        this.job = job;
        this.queue = queue;
        this.sequence = sequence;
        this.teamWorkAtArrival = queue.startedNanos();
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

    /** Returns the expected run time of the waiting tasks, in nanoseconds of one slot. */
    long nanosLeft() {
        return tasks * expectedNanos;
    }

    /** Returns the sort key of the job within its team: the job with the lowest key comes first. */
    long sortKey() {
        return teamWorkAtArrival + OVERTAKING_FACTOR * nanosLeft();
    }

    void update(int addedTasks, long newExpectedNanos) {
        tasks += addedTasks;
        expectedNanos = newExpectedNanos;
    }
}
