package org.tarragonarch.standin.explore;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock that jumps from one planned step to the next; steps at the same time run in the order of planning. */
public final class VirtualTime {
    private final PriorityQueue<Planned> planned =
            new PriorityQueue<>(Comparator.comparingLong(Planned::nanos).thenComparingLong(Planned::sequence));
    private long nowNanos = 1;
    private long sequence;
    private long steps;

    /** Returns the present time in nanoseconds. */
    public long nowNanos() {
        return nowNanos;
    }

    /** Returns how many steps have run. */
    public long steps() {
        return steps;
    }

    /** Plans a step after a delay. */
    public void scheduleAfter(long delayNanos, Runnable step) {
        scheduleAt(nowNanos + delayNanos, step);
    }

    /** Plans a step at a time; one in the past runs now. */
    public void scheduleAt(long nanos, Runnable step) {
        planned.add(new Planned(Math.max(nowNanos, nanos), sequence++, step));
    }

    /** Runs the next step if it is due by then; returns false if there is none. */
    public boolean runNext(long untilNanos) {
        if (planned.isEmpty() || planned.peek().nanos() > untilNanos) {
            return false;
        }
        Planned next = planned.remove();
        nowNanos = next.nanos();
        steps++;
        next.step().run();
        return true;
    }

    private record Planned(long nanos, long sequence, Runnable step) {}
}
