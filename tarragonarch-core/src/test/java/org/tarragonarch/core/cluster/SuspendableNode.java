package org.tarragonarch.core.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.tarragonarch.core.placing.VirtualTimers;
import org.tarragonarch.model.task.Delivery;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.PollAnswer;
import org.tarragonarch.model.task.PollOrder;
import org.tarragonarch.model.task.StartOrder;
import org.tarragonarch.model.task.TaskRun;
import org.tarragonarch.model.task.Timers;

/** The clock and endpoint calls of a node that can be suspended; its steady clock stops while it is suspended. */
final class SuspendableNode implements Timers, EndpointOrders {
    private final VirtualTimers real;
    private final EndpointOrders orders;
    private final List<Runnable> pending = new ArrayList<>();
    private boolean suspended;
    private long suspendedAtMillis;
    private long suspendedMillis;

    SuspendableNode(VirtualTimers real, EndpointOrders orders) {
        this.real = real;
        this.orders = orders;
    }

    /** Suspends the node for the given time; answers that arrive meanwhile are delivered when it resumes. */
    void suspend(long millis) {
        suspended = true;
        suspendedAtMillis = real.nowMillis();
        real.schedule(millis, () -> {
            suspended = false;
            suspendedMillis += millis;
            List<Runnable> due = List.copyOf(pending);
            pending.clear();
            due.forEach(Runnable::run);
        });
    }

    @Override
    public long nowMillis() {
        return (suspended ? suspendedAtMillis : real.nowMillis()) - suspendedMillis;
    }

    @Override
    public Handle schedule(long millis, Runnable task) {
        boolean[] cancelled = {false};
        runAt(nowMillis() + Math.max(0, millis), () -> {
            if (!cancelled[0]) {
                task.run();
            }
        });
        return () -> cancelled[0] = true;
    }

    private void runAt(long dueMillis, Runnable task) {
        real.schedule(
                Math.max(0, dueMillis - nowMillis()),
                () -> whenRunning(() -> {
                    if (nowMillis() < dueMillis) {
                        runAt(dueMillis, task);
                    } else {
                        task.run();
                    }
                }));
    }

    private void whenRunning(Runnable task) {
        if (suspended) {
            pending.add(task);
        } else {
            task.run();
        }
    }

    @Override
    public void poll(EndpointEntry entry, PollOrder order, Delivery delivery, Consumer<PollAnswer> reply) {
        orders.poll(entry, order, delivery, answer -> whenRunning(() -> reply.accept(answer)));
    }

    @Override
    public void start(EndpointEntry entry, StartOrder order, Delivery delivery, Consumer<OrderAnswer> reply) {
        orders.start(entry, order, delivery, answer -> whenRunning(() -> reply.accept(answer)));
    }

    @Override
    public void stop(
            EndpointEntry entry, FencingToken token, TaskRun run, Delivery delivery, Consumer<OrderAnswer> reply) {
        orders.stop(entry, token, run, delivery, answer -> whenRunning(() -> reply.accept(answer)));
    }
}
