package org.tarragonarch.core.cluster;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
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

/**
 * The clock, endpoint calls and inbox of a node that can be suspended and killed.
 *
 * <p>What arrives while the node is suspended waits. When it resumes, events of the same source stay in order.
 */
final class SuspendableNode implements Timers, EndpointOrders, Inbox {
    private final VirtualTimers real;
    private final EndpointOrders orders;
    private final Random resumeOrder;
    private final Map<Object, Deque<Runnable>> pending = new LinkedHashMap<>();
    private boolean suspended;
    private boolean killed;
    private SteadyClock clock = SteadyClock.STOPS;
    private long suspendedAtMillis;
    private long suspendedMillis;
    private long lostMillis;

    /** Creates a running node. */
    SuspendableNode(VirtualTimers real, EndpointOrders orders) {
        this(real, orders, new Random(0));
    }

    /**
     * Creates a running node.
     *
     * @param resumeOrder decides from which source the next event is handled when the node resumes
     */
    SuspendableNode(VirtualTimers real, EndpointOrders orders, Random resumeOrder) {
        this.real = real;
        this.orders = orders;
        this.resumeOrder = resumeOrder;
    }

    /** Suspends the node, whose steady clock stops, for the given time. */
    void suspend(long millis) {
        suspend(millis, SteadyClock.STOPS);
    }

    /** Suspends the node for the given time, unless it is suspended already. */
    void suspend(long millis, SteadyClock whileSuspended) {
        if (suspended) {
            return;
        }
        suspended = true;
        clock = whileSuspended;
        suspendedAtMillis = real.nowMillis();
        real.schedule(millis, () -> resume(millis));
    }

    private void resume(long millis) {
        suspended = false;
        suspendedMillis += millis;
        lostMillis += clock.lostMillis(millis);
        List<Deque<Runnable>> sources = new ArrayList<>(pending.values());
        pending.clear();
        while (!sources.isEmpty()) {
            int index = resumeOrder.nextInt(sources.size());
            sources.get(index).removeFirst().run();
            if (sources.get(index).isEmpty()) {
                sources.remove(index);
            }
        }
    }

    /** Ends the node: nothing that arrives is handled from now on. */
    void kill() {
        killed = true;
        pending.clear();
    }

    boolean isKilled() {
        return killed;
    }

    boolean isSuspended() {
        return suspended;
    }

    /** Returns how long the node was suspended, without a suspension that has not ended, in milliseconds. */
    long suspendedMillis() {
        return suspendedMillis;
    }

    @Override
    public long nowMillis() {
        long realMillis = suspended && clock == SteadyClock.STOPS ? suspendedAtMillis : real.nowMillis();
        return realMillis - lostMillis;
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
                () -> deliver(this, () -> {
                    if (nowMillis() < dueMillis) {
                        runAt(dueMillis, task);
                    } else {
                        task.run();
                    }
                }));
    }

    @Override
    public void deliver(Object source, Runnable event) {
        if (killed) {
            return;
        }
        if (suspended) {
            pending.computeIfAbsent(source, unused -> new ArrayDeque<>()).addLast(event);
        } else {
            event.run();
        }
    }

    @Override
    public void poll(EndpointEntry entry, PollOrder order, Delivery delivery, Consumer<PollAnswer> reply) {
        orders.poll(entry, order, delivery, answer -> deliver(reply, () -> reply.accept(answer)));
    }

    @Override
    public void start(EndpointEntry entry, StartOrder order, Delivery delivery, Consumer<OrderAnswer> reply) {
        orders.start(entry, order, delivery, answer -> deliver(reply, () -> reply.accept(answer)));
    }

    @Override
    public void stop(
            EndpointEntry entry, FencingToken token, TaskRun run, Delivery delivery, Consumer<OrderAnswer> reply) {
        orders.stop(entry, token, run, delivery, answer -> deliver(reply, () -> reply.accept(answer)));
    }
}
