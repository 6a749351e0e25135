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
 * The control thread: takes events from any thread and runs the core upon them, one by one.
 *
 * <p>Time is {@link System#nanoTime}, read once for each event. The queue is not bounded here: each event in it belongs
 * to a submission, an exchange or a connection, all of which are bounded where they begin.
 */
public final class ControlLoop implements EventSink {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int BATCH = 256;
    private static final int COMPLAINT_INTERVAL_SECONDS = 1;

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
     * Returns a loop that does not run yet; events may be handed in already.
     *
     * @param core the decisions
     * @param recorder sees each event before it is decided upon
     */
    public static ControlLoop create(NodeCore core, EventRecorder recorder) {
        return new ControlLoop(core, recorder);
    }

    /**
     * Starts the thread and hands in the first {@code TimePassed}.
     *
     * @param actions takes the actions, on the control thread
     */
    public void start(ActionSink actions) {
        this.sink = checkNotNull(actions, "actions");
        post(new TimePassed());
        thread.start();
    }

    /** Ends the thread after the event at hand; events that still wait are dropped. */
    public void stop() {
        stopped = true;
        thread.interrupt();
    }

    @Override
    public void post(Event event) {
        inbox.add(() -> decide(event));
    }

    /** Returns what a question to the core will give, asked on the control thread; fails if the question does. */
    public <T> CompletableFuture<T> query(Function<NodeCore, T> question) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        inbox.add(() -> {
            try {
                answer.complete(question.apply(core));
            } catch (RuntimeException e) {
                answer.completeExceptionally(e);
            }
        });
        return answer;
    }

    /** Returns how many events wait; for the metrics. */
    public int waitingEvents() {
        return inbox.size();
    }

    private void run() {
        List<Runnable> batch = new ArrayList<>(BATCH);
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
        inbox.drainTo(batch, BATCH - 1);
    }

    private void wakeIfDue() {
        if (wakeSet && wakeAtNanos - System.nanoTime() <= 0) {
            wakeSet = false;
            runGuarded(() -> decide(new TimePassed()));
        }
    }

    private void decide(Event event) {
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
        // A fault in carrying out one action must not cut short the decision that gave it.
        runGuarded(() -> sink.emit(action));
    }

    // A fault in one decision must not end the thread: every other submission of the node hangs on it. The submission
    // whose event failed gets no answer from here and ends by its caller's own time limit.
    private void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            LOG.atSevere().withCause(e).atMostEvery(COMPLAINT_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "event=control-failed step=lifecycle peer=control");
        }
    }
}
