package org.tarragonarch.benchmark.time;

import java.util.Comparator;
import java.util.PriorityQueue;

/** What happens when, on a clock that jumps from one happening to the next. */
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

    /** Lets something happen after a while. */
    public void runAfter(long waitNanos, Runnable happening) {
        runAt(nowNanos + waitNanos, happening);
    }

    /** Lets something happen at a time, or now if that is over. */
    public void runAt(long nanos, Runnable happening) {
        queue.add(new Due(Math.max(nanos, nowNanos), sequence++, happening));
    }

    /** Runs all that is due until an end, and leaves the rest. */
    public void runUntil(long endNanos) {
        while (!queue.isEmpty() && queue.peek().nanos <= endNanos) {
            Due due = queue.poll();
            nowNanos = due.nanos;
            due.happening.run();
        }
    }

    private record Due(long nanos, long sequence, Runnable happening) {}
}
