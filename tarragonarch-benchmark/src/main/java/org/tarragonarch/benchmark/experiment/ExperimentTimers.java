package org.tarragonarch.benchmark.experiment;

import java.util.concurrent.TimeUnit;
import org.tarragonarch.benchmark.time.VirtualTime;
import org.tarragonarch.model.task.Timers;

/** Virtual time as one process sees it; a process that is ended hears of nothing any more. */
final class ExperimentTimers implements Timers {
    /** The clock does not start at zero, as that of a machine does not. */
    private static final long OFFSET_MILLIS = 1_000;

    private final VirtualTime time;
    private boolean stopped;

    ExperimentTimers(VirtualTime time) {
        this.time = time;
    }

    @Override
    public long nowMillis() {
        return OFFSET_MILLIS + TimeUnit.NANOSECONDS.toMillis(time.nowNanos());
    }

    @Override
    public Handle after(long millis, Runnable task) {
        boolean[] cancelled = {false};
        time.after(TimeUnit.MILLISECONDS.toNanos(Math.max(0, millis)), () -> {
            if (!cancelled[0] && !stopped) {
                task.run();
            }
        });
        return () -> cancelled[0] = true;
    }

    void stop() {
        stopped = true;
    }

    boolean stopped() {
        return stopped;
    }
}
