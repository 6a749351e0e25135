package org.tarragonarch.benchmark.policy;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.TeamName;

/** A job, the actual run times of its tasks, and its state. */
final class Job {
    final TeamName team;
    final KindName kind;
    final Duration declared;
    final long[] runNanos;
    final long arrivedNanos;
    /** Indexes in {@link #runNanos} of the tasks that are not sent. */
    final Deque<Integer> unsentTasks = new ArrayDeque<>();
    /** The endpoint of each task that is sent and has not ended. */
    final Map<Integer, EndpointModel> sent = new HashMap<>();

    int tasksLeft;
    boolean ended;

    Job(TeamName team, KindName kind, Duration declared, long[] runNanos, long arrivedNanos) {
        this.team = team;
        this.kind = kind;
        this.declared = declared;
        this.runNanos = runNanos;
        this.arrivedNanos = arrivedNanos;
        this.tasksLeft = runNanos.length;
        for (int i = 0; i < runNanos.length; i++) {
            unsentTasks.add(i);
        }
    }

    long longestRunNanos() {
        long slowest = 0;
        for (long nanos : runNanos) {
            slowest = Math.max(slowest, nanos);
        }
        return slowest;
    }

    long workNanos() {
        long sum = 0;
        for (long nanos : runNanos) {
            sum += nanos;
        }
        return sum;
    }
}
