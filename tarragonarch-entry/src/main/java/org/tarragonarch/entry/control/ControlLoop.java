package org.tarragonarch.entry.control;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.tarragonarch.core.action.Action;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.WakeAt;
import org.tarragonarch.core.event.Event;
import org.tarragonarch.core.event.TimePassed;

/**
 * Runs the core on the control thread, one event at a time.
 *
 * <p>Events may be posted from any thread. Time is {@link System#nanoTime}, read once per event. The queue is
 * unbounded, because every event belongs to a submission, an exchange or a connection, and those are bounded.
 */
public final class ControlLoop implements EventSink {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int MAX_BATCH = 256;
    private static final int FAILURE_LOG_INTERVAL_SECONDS = 1;

    private final NodeCore core;
    private final EventRecorder recorder;
    private final LinkedBlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
    private final Thread thread;
    private ActionSink sink;
    private boolean wakeSet;
    private long wakeAtNanos;
    private volatile boolean stopped;

    private ControlLoop(NodeCore core, EventRecorder recorder) {
        this.core = checkNotNull(core, "core");
        this.recorder = checkNotNull(recorder, "recorder");
        this.thread = new Thread(this::run, "control");
    }

    /**
     * Creates a loop that is not started; events may already be posted.
     *
     * @param core the core, used only on the control thread
     * @param recorder receives each event before the core does
     */
    public static ControlLoop create(NodeCore core, EventRecorder recorder) {
        return new ControlLoop(core, recorder);
    }

    /**
     * Starts the control thread and posts the first {@code TimePassed}.
     *
     * @param actions receives the actions, on the control thread
     */
    public void start(ActionSink actions) {
        this.sink = checkNotNull(actions, "actions");
        post(new TimePassed());
        thread.start();
    }

    /** Stops the thread after the current event; queued events are dropped. */
    public void stop() {
        stopped = true;
        thread.interrupt();
    }

    @Override
    public void post(Event event) {
        inbox.add(() -> handle(event));
    }

    /** Applies {@code query} to the core on the control thread; the future fails if the query throws. */
    public <T> CompletableFuture<T> query(Function<NodeCore, T> query) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        inbox.add(() -> {
            try {
                answer.complete(query.apply(core));
            } catch (RuntimeException e) {
                answer.completeExceptionally(e);
            }
        });
        return answer;
    }

    /** Returns the number of queued events. */
    public int waitingEvents() {
        return inbox.size();
    }

    private void run() {
        List<Runnable> batch = new ArrayList<>(MAX_BATCH);
        while (!stopped) {
            try {
                takeInto(batch);
            } catch (InterruptedException e) {
                continue;
            }
            batch.forEach(this::runGuarded);
            batch.clear();
            wakeIfDue();
        }
    }

    private void takeInto(List<Runnable> batch) throws InterruptedException {
        Runnable first =
                wakeSet ? inbox.poll(Math.max(0, wakeAtNanos - System.nanoTime()), TimeUnit.NANOSECONDS) : inbox.take();
        if (first == null) {
            return;
        }
        batch.add(first);
        inbox.drainTo(batch, MAX_BATCH - 1);
    }

    private void wakeIfDue() {
        if (wakeSet && wakeAtNanos - System.nanoTime() <= 0) {
            wakeSet = false;
            runGuarded(() -> handle(new TimePassed()));
        }
    }

    private void handle(Event event) {
        long now = System.nanoTime();
        recorder.record(now, event);
        core.handle(now, event, this::emit);
    }

    private void emit(Action action) {
        if (action instanceof WakeAt wake) {
            wakeSet = true;
            wakeAtNanos = wake.nanos();
            return;
        }
        // A handler that throws must not keep the core from emitting the remaining actions of this event.
        runGuarded(() -> sink.emit(action));
    }

    // A failure while handling one event must not end the thread, which serves every submission of the node. The
    // submission whose event failed gets no answer; its caller's own timeout ends it.
    private void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            LOG.atSevere().withCause(e).atMostEvery(FAILURE_LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "event=control-failed step=lifecycle peer=control");
        }
    }
}
