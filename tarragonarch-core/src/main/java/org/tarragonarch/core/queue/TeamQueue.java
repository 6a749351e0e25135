package org.tarragonarch.core.queue;

import java.util.Comparator;
import java.util.TreeSet;
import org.tarragonarch.model.id.TeamName;

/**
 * The waiting jobs of one team, and the team's virtual time.
 *
 * <p>A job with less remaining work comes before one with more, but overtakes it only for a limited time; see {@link
 * WaitingJob#sortKey}.
 */
final class TeamQueue<J> {
    private final TeamName team;
    private final TreeSet<WaitingJob<J>> jobs =
            new TreeSet<>(Comparator.comparingLong(WaitingJob<J>::sortKey).thenComparingLong(WaitingJob::sequence));
    /**
     * Sums of work by the binary order of magnitude of the job's work, so that a sum over the jobs up to a given size
     * needs no iteration over all jobs.
     */
    private final long[] nanosByMagnitude = new long[Long.SIZE + 1];

    private int weight = 1;
    private int tasks;
    private long nanos;
    private long startedNanos;
    private double virtualNanos;

    TeamQueue(TeamName team) {
        this.team = team;
    }

    TeamName team() {
        return team;
    }

    int weight() {
        return weight;
    }

    void updateWeight(int newWeight) {
        weight = newWeight;
    }

    int tasks() {
        return tasks;
    }

    long nanos() {
        return nanos;
    }

    double virtualNanos() {
        return virtualNanos;
    }

    WaitingJob<J> first() {
        return jobs.first();
    }

    /** Advances the team to at least the queue's virtual time, so that idle time earns no credit. */
    void advanceTo(double virtualNow) {
        virtualNanos = Math.max(virtualNanos, virtualNow);
    }

    /** Returns the expected work of all tasks that the team has started, which is the clock by which its jobs age. */
    long startedNanos() {
        return startedNanos;
    }

    void charge(long expectedNanos) {
        startedNanos += expectedNanos;
        virtualNanos += (double) expectedNanos / weight;
    }

    void update(WaitingJob<J> job, int addedTasks, long expectedNanos) {
        if (job.tasks() > 0) {
            jobs.remove(job);
            count(job, -1);
        }
        job.update(addedTasks, expectedNanos);
        if (job.tasks() > 0) {
            jobs.add(job);
            count(job, 1);
        }
    }

    /** Returns the total work of the jobs whose work is at most {@code jobNanos}, to within a factor of two. */
    long nanosUpTo(long jobNanos) {
        long sum = 0;
        for (int magnitude = 0; magnitude <= magnitude(jobNanos); magnitude++) {
            sum += nanosByMagnitude[magnitude];
        }
        return sum;
    }

    private void count(WaitingJob<J> job, int sign) {
        tasks += sign * job.tasks();
        nanos += sign * job.nanosLeft();
        nanosByMagnitude[magnitude(job.nanosLeft())] += sign * job.nanosLeft();
    }

    private static int magnitude(long value) {
        return Long.SIZE - Long.numberOfLeadingZeros(value);
    }
}
