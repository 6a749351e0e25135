package org.tarragonarch.core.queue;

/** The waiting tasks of one job, and its place among the jobs of its team. */
final class WaitingJob<J> {
    /**
     * How much later work may pass a job, as a multiple of the work by which the later job is smaller.
     *
     * <p>Without a bound the smallest job always comes first, and under steady load a job that is larger, or was only
     * thought to be when run times were not learnt yet, is passed until its deadline.
     */
    private static final long PASSING_FACTOR = 4;

    private final J job;
    private final TeamQueue<J> queue;
    private final long sequence;
    private final long teamWorkAtArrival;
    private int tasks;
    private long expectedNanos;

    /** Creates a job without tasks that arrives now, by the work that its team has started. */
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

    /** Returns the expected run time of all that waits, in nanoseconds of one slot. */
    long nanosLeft() {
        return tasks * expectedNanos;
    }

    /** Returns the job's place: the job with the least comes first. */
    long sortKey() {
        return teamWorkAtArrival + PASSING_FACTOR * nanosLeft();
    }

    void update(int addedTasks, long newExpectedNanos) {
        tasks += addedTasks;
        expectedNanos = newExpectedNanos;
    }
}
