package org.tarragonarch.standin.explore;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock that advances from one scheduled step to the next. Steps at the same time run in scheduling order. */
public final class VirtualTime {
    private final PriorityQueue<ScheduledStep> scheduled = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledStep::nanos).thenComparingLong(ScheduledStep::sequence));
    private long nowNanos = 1;
    private long sequence;
    private long steps;

    /** Returns the current time in nanoseconds. */
    public long nowNanos() {
        return nowNanos;
    }

    /** Returns the number of steps that have run. */
    public long steps() {
        return steps;
    }

    /** Schedules a step after a delay in nanoseconds. */
    public void scheduleAfter(long delayNanos, Runnable step) {
        scheduleAt(nowNanos + delayNanos, step);
    }

    /** Schedules a step at a time in nanoseconds; a step in the past is scheduled now. */
    public void scheduleAt(long nanos, Runnable step) {
        scheduled.add(new ScheduledStep(Math.max(nowNanos, nanos), sequence++, step));
    }

    /** Runs the next step if it is due by a time; returns false if there is none. */
    public boolean runNext(long untilNanos) {
        if (scheduled.isEmpty() || scheduled.peek().nanos() > untilNanos) {
            return false;
        }
        ScheduledStep next = scheduled.remove();
        nowNanos = next.nanos();
        steps++;
        next.step().run();
        return true;
    }

    private record ScheduledStep(long nanos, long sequence, Runnable step) {}
}
