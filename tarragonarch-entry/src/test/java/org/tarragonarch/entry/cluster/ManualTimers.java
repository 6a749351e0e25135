package org.tarragonarch.entry.cluster;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.tarragonarch.model.task.Timers;

/** Timers with a clock that a test advances, which runs the tasks that become due in their order. */
final class ManualTimers implements Timers {
    private final List<Scheduled> tasks = new ArrayList<>();
    private long now = 1_000;

    void advance(long millis) {
        long until = now + millis;
        while (tasks.stream().anyMatch(task -> task.atMillis <= until)) {
            Scheduled next = tasks.stream()
                    .min(Comparator.comparingLong(task -> task.atMillis))
                    .orElseThrow();
            tasks.remove(next);
            now = Math.max(now, next.atMillis);
            next.task.run();
        }
        now = until;
    }

    @Override
    public long nowMillis() {
        return now;
    }

    @Override
    public Handle schedule(long millis, Runnable task) {
        Scheduled scheduled = new Scheduled(now + Math.max(0, millis), task);
        tasks.add(scheduled);
        return () -> tasks.remove(scheduled);
    }

    /** A task and when it is due; equal only to itself. */
    private static final class Scheduled {
        private final long atMillis;
        private final Runnable task;

        Scheduled(long atMillis, Runnable task) {
            this.atMillis = atMillis;
            this.task = task;
        }
    }
}
