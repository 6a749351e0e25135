package org.tarragonarch.core.placing;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.tarragonarch.model.task.Timers;

/** Timers on a clock that a test advances; calls run in the order of their times, then of their scheduling. */
public final class VirtualTimers implements Timers {
    private final PriorityQueue<Call> calls =
            new PriorityQueue<>(Comparator.comparingLong(Call::at).thenComparingLong(Call::number));
    private long now = 1_000;
    private long nextNumber;

    @Override
    public long nowMillis() {
        return now;
    }

    @Override
    public Handle schedule(long millis, Runnable task) {
        Call call = new Call(now + Math.max(0, millis), nextNumber++, task);
        calls.add(call);
        return () -> calls.remove(call);
    }

    /** Advances the clock by the given time, in milliseconds, and runs every call that becomes due. */
    public void advance(long millis) {
        long until = now + millis;
        while (!calls.isEmpty() && calls.peek().at() <= until) {
            Call next = calls.poll();
            now = next.at();
            next.task().run();
        }
        now = until;
    }

    private record Call(long at, long number, Runnable task) {}
}
