package org.tarragonarch.benchmark.policy;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.tarragonarch.model.id.KindName;
import org.tarragonarch.model.id.TeamName;

/** One job on its way: what it truly takes, and how far it is. */
final class Job {
    final TeamName team;
    final KindName kind;
    final Duration declared;
    final long[] runNanos;
    final long arrivedNanos;
    /** Tasks not sent, by their place in {@link #runNanos}. */
    final Deque<Integer> unsentTasks = new ArrayDeque<>();
    /** Tasks sent and not ended, with where they are. */
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
