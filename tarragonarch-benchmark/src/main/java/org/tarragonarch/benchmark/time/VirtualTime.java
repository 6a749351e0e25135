package org.tarragonarch.benchmark.time;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock and event queue for discrete event simulation: the clock jumps from one event to the next. */
public final class VirtualTime {
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingLong(Due::nanos).thenComparingLong(Due::sequence));
    private long nowNanos;
    private long sequence;

    /** Creates a clock at zero. */
    public VirtualTime() {}

    /** Returns the time in nanoseconds from the start. */
    public long nowNanos() {
        return nowNanos;
    }

    /** Schedules an event after a delay. */
    public void runAfter(long waitNanos, Runnable event) {
        runAt(nowNanos + waitNanos, event);
    }

    /** Schedules an event at a time, or now if that time has passed. */
    public void runAt(long nanos, Runnable event) {
        queue.add(new Due(Math.max(nanos, nowNanos), sequence++, event));
    }

    /** Runs the events due up to and including {@code endNanos}; later events stay queued. */
    public void runUntil(long endNanos) {
        while (!queue.isEmpty() && queue.peek().nanos <= endNanos) {
            Due due = queue.poll();
            nowNanos = due.nanos;
            due.event.run();
        }
    }

    private record Due(long nanos, long sequence, Runnable event) {}
}
