package org.tarragonarch.entry.cluster;

import org.tarragonarch.model.task.Timers;

/** Timers with a settable clock that never run their tasks. */
final class SettableTimers implements Timers {
    private long now = 1_000;

    void advance(long millis) {
        now += millis;
    }

    @Override
    public long nowMillis() {
        return now;
    }

    @Override
    public Handle schedule(long millis, Runnable task) {
        return () -> {};
    }
}
