package org.tarragonarch.entry.cluster;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.model.task.Timers;

/** Timers that run their tasks on an event loop. */
final class LoopTimers implements Timers {
    private final EventLoop loop;

    LoopTimers(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public Handle schedule(long millis, Runnable task) {
        if (millis <= 0) {
            boolean[] cancelled = {false};
            loop.execute(() -> {
                if (!cancelled[0]) {
                    task.run();
                }
            });
            return () -> cancelled[0] = true;
        }
        ScheduledFuture<?> scheduled = loop.schedule(task, millis, TimeUnit.MILLISECONDS);
        return () -> scheduled.cancel(false);
    }
}
