package org.tarragonarch.benchmark.experiment;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.benchmark.time.VirtualTime;
import org.tarragonarch.model.task.Timers;

/** Virtual time as one process sees it; a process that is ended gets no further events. */
final class ExperimentTimers implements Timers {
    /** The clock does not start at zero, as that of a machine does not. */
    private static final long OFFSET_MILLIS = 1_000;

    private final VirtualTime time;
    private final List<Runnable> deferred = new ArrayList<>();
    private boolean stopped;
    private boolean paused;

    ExperimentTimers(VirtualTime time) {
        this.time = time;
    }

    @Override
    public long nowMillis() {
        return OFFSET_MILLIS + TimeUnit.NANOSECONDS.toMillis(time.nowNanos());
    }

    @Override
    public Handle schedule(long millis, Runnable task) {
        boolean[] cancelled = {false};
        time.runAfter(TimeUnit.MILLISECONDS.toNanos(Math.max(0, millis)), () -> {
            if (!cancelled[0]) {
                runWhenResumed(task);
            }
        });
        return () -> cancelled[0] = true;
    }

    /** Runs something of the process, at once or when it goes on; never if it was ended. */
    void runWhenResumed(Runnable task) {
        if (paused) {
            deferred.add(task);
        } else if (!stopped) {
            task.run();
        }
    }

    void pause() {
        paused = true;
    }

    /** Goes on, with all that came due meanwhile, in its order. */
    void resume() {
        paused = false;
        List<Runnable> due = ImmutableList.copyOf(deferred);
        deferred.clear();
        due.forEach(this::runWhenResumed);
    }

    void stop() {
        stopped = true;
    }

    boolean stopped() {
        return stopped;
    }
}
