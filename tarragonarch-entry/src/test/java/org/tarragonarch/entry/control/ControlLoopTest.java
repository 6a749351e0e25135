package org.tarragonarch.entry.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.core.action.Action;
import org.tarragonarch.core.action.ActionSink;
import org.tarragonarch.core.action.ReadVmList;
import org.tarragonarch.core.action.WakeAt;
import org.tarragonarch.core.event.DrainRequested;
import org.tarragonarch.core.event.Event;
import org.tarragonarch.core.event.TimePassed;
import org.tarragonarch.core.status.NodeStatus;
import org.tarragonarch.entry.Eventually;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

public final class ControlLoopTest {
    private final List<Long> times = new CopyOnWriteArrayList<>();
    private final List<Event> events = new CopyOnWriteArrayList<>();
    private ControlLoop loop;

    @AfterMethod
    public void tearDown() {
        loop.stop();
        times.clear();
        events.clear();
    }

    @Test
    public void testWakeAt_postsTimePassedNotEarlier() {
        long wait = TimeUnit.MILLISECONDS.toNanos(30);
        start((now, event, sink) -> {
            if (events.size() == 1) {
                sink.emit(new WakeAt(now + wait));
            }
        });
        Eventually.check("TimePassed was posted", () -> events.size() == 2);
        assertEquals(events.get(1), new TimePassed());
        assertTrue(times.get(1) - times.get(0) >= wait, times.toString());
    }

    @Test
    public void testWakeAt_inThePast() {
        start((now, event, sink) -> {
            if (events.size() < 3) {
                sink.emit(new WakeAt(now - 1));
            }
        });
        Eventually.check("TimePassed was posted twice", () -> events.size() == 3);
    }

    // A core that throws on one event must not end the control thread, which would stop the whole node.
    @Test
    public void testHandle_failureDoesNotStopNextEvent() throws Exception {
        start((now, event, sink) -> {
            if (event.equals(new DrainRequested("bad"))) {
                throw new IllegalStateException("on purpose");
            }
        });
        loop.post(new DrainRequested("bad"));
        loop.post(new DrainRequested("good"));
        Eventually.check("the next event is handled", () -> events.contains(new DrainRequested("good")));
        assertTrue(loop.query(core -> true).get(5, TimeUnit.SECONDS));
    }

    @Test
    public void testEmit_failureDoesNotStopNextAction() {
        List<Action> done = new CopyOnWriteArrayList<>();
        loop = ControlLoop.create(
                core((now, event, sink) -> {
                    sink.emit(new ReadVmList());
                    sink.emit(new ReadVmList());
                }),
                EventRecorder.NONE);
        loop.start(action -> {
            done.add(action);
            if (done.size() == 1) {
                throw new IllegalStateException("on purpose");
            }
        });
        Eventually.check("both actions were emitted", () -> done.size() == 2);
    }

    @Test
    public void testRouterBuild_handlerMissing() {
        start((now, event, sink) -> {});
        IllegalStateException thrown = expectThrows(
                IllegalStateException.class,
                () -> ActionRouter.builder().on(WakeAt.class, wake -> {}).build());
        assertTrue(thrown.getMessage().contains("SendTask"), thrown.getMessage());
    }

    private void start(Decision decision) {
        loop = ControlLoop.create(core(decision), EventRecorder.NONE);
        loop.start(action -> {});
    }

    private NodeCore core(Decision decision) {
        return new NodeCore() {
            @Override
            public void handle(long nowNanos, Event event, ActionSink sink) {
                times.add(nowNanos);
                events.add(event);
                decision.decide(nowNanos, event, sink);
            }

            @Override
            public NodeStatus status() {
                throw new UnsupportedOperationException();
            }
        };
    }

    private interface Decision {
        void decide(long nowNanos, Event event, ActionSink sink);
    }
}
