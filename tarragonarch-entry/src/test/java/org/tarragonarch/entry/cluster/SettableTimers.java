package org.tarragonarch.entry.cluster;

import org.tarragonarch.model.task.Timers;

/** Time that a test sets; nothing that is planned ever happens. */
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
    public Handle after(long millis, Runnable task) {
        return () -> {};
    }
}
