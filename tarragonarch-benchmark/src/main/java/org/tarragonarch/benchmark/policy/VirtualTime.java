package org.tarragonarch.benchmark.policy;

import java.util.Comparator;
import java.util.PriorityQueue;

/** What happens when, on a clock that jumps from one happening to the next. */
final class VirtualTime {
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingLong(Due::nanos).thenComparingLong(Due::sequence));
    private long nowNanos;
    private long sequence;

    long nowNanos() {
        return nowNanos;
    }

    void after(long waitNanos, Runnable happening) {
        at(nowNanos + waitNanos, happening);
    }

    void at(long nanos, Runnable happening) {
        queue.add(new Due(Math.max(nanos, nowNanos), sequence++, happening));
    }

    /** Runs all that is due until an end, and leaves the rest. */
    void runUntil(long endNanos) {
        while (!queue.isEmpty() && queue.peek().nanos <= endNanos) {
            Due due = queue.poll();
            nowNanos = due.nanos;
            due.happening.run();
        }
    }

    private record Due(long nanos, long sequence, Runnable happening) {}
}
