package org.tarragonarch.benchmark.experiment;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.benchmark.time.VirtualTime;
import org.tarragonarch.model.task.Timers;

/** The timers of one simulated process, on virtual time; a stopped process gets no further events. */
final class ExperimentTimers implements Timers {
    /** The clock starts above zero, like that of a real machine. */
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

    /** Runs a task, now or when the process resumes; drops it if the process was stopped. */
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

    /** Resumes the process and runs the deferred tasks in order. */
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
