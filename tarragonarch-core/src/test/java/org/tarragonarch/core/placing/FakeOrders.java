package org.tarragonarch.core.placing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.task.Delivery;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.HoldAnswer;
import org.tarragonarch.model.task.HoldOrder;
import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.OrderResult;
import org.tarragonarch.model.task.StartOrder;
import org.tarragonarch.model.task.TaskRun;

/** The way to a handful of endpoints, with faults on it. */
public final class FakeOrders implements EndpointOrders {
    /** What becomes of an order on its way. */
    enum Fault {
        /** It arrives, and so does its answer. */
        NONE,
        /** Nothing arrives. */
        LOST,
        /** It arrives, and its answer is lost. */
        ANSWER_LOST,
        /** It arrives three seconds later, and its answer is lost. */
        DELAYED
    }

    private static final long WAY_MILLIS = 1;
    private static final long LATE_MILLIS = 3_000;

    final Map<EndpointId, FakeEndpoint> endpoints = new LinkedHashMap<>();
    final Map<EndpointId, Fault> faults = new HashMap<>();
    Supplier<Fault> startFault = () -> Fault.NONE;
    Supplier<Fault> holdFault = () -> Fault.NONE;
    Supplier<Fault> stopFault = () -> Fault.NONE;
    long listMillis = WAY_MILLIS;
    private final VirtualTimers timers;
    private final long milliCores;

    /**
     * Creates the way to no endpoint yet.
     *
     * @param milliCores the processor time that each task takes, in thousandths of a core
     */
    public FakeOrders(VirtualTimers timers, long milliCores) {
        this.timers = timers;
        this.milliCores = milliCores;
    }

    /** Adds an endpoint. */
    public void add(EndpointId id, FakeEndpoint endpoint) {
        endpoints.put(id, endpoint);
    }

    @Override
    public void hold(EndpointEntry entry, HoldOrder order, Delivery delivery, Consumer<HoldAnswer> reply) {
        Once<HoldAnswer> once = new Once<>(reply);
        long patience = order.waitMillis() + delivery.answerWithinMillis();
        timers.after(patience, () -> once.give(HoldAnswer.failed(OrderResult.UNKNOWN)));
        Fault drawn = way(entry) == Fault.NONE ? holdFault.get() : way(entry);
        if (drawn == Fault.NONE) {
            timers.after(
                    WAY_MILLIS,
                    () -> endpoints.get(entry.id()).hold(order, answer -> {
                        if (way(entry) == Fault.NONE) {
                            timers.after(listMillis, () -> once.give(answer));
                        }
                    }));
        }
    }

    @Override
    public void start(EndpointEntry entry, StartOrder order, Delivery delivery, Consumer<OrderAnswer> reply) {
        Fault drawn = way(entry) == Fault.NONE ? startFault.get() : way(entry);
        FakeEndpoint endpoint = endpoints.get(entry.id());
        send(drawn, () -> endpoint.start(order, milliCores), endpoint, delivery, reply);
    }

    @Override
    public void stop(
            EndpointEntry entry, FencingToken token, TaskRun run, Delivery delivery, Consumer<OrderAnswer> reply) {
        Fault drawn = way(entry) == Fault.NONE ? stopFault.get() : way(entry);
        FakeEndpoint endpoint = endpoints.get(entry.id());
        send(drawn, () -> endpoint.stop(token, run), endpoint, delivery, reply);
    }

    private Fault way(EndpointEntry entry) {
        return faults.getOrDefault(entry.id(), Fault.NONE);
    }

    /**
     * Lets a late order arrive, unless the endpoint has restarted just now: what arrives before the first call to a new
     * incarnation nobody can have stopped, and no holder can rule it out.
     */
    private static void carryOutLate(Supplier<OrderAnswer> order, FakeEndpoint endpoint) {
        if (!endpoint.hasJustRestarted()) {
            order.get();
        }
    }

    private void send(
            Fault way,
            Supplier<OrderAnswer> order,
            FakeEndpoint endpoint,
            Delivery delivery,
            Consumer<OrderAnswer> reply) {
        Once<OrderAnswer> once = new Once<>(reply);
        timers.after(delivery.answerWithinMillis(), () -> once.give(OrderAnswer.of(OrderResult.UNKNOWN)));
        switch (way) {
            case NONE ->
                timers.after(WAY_MILLIS, () -> {
                    OrderAnswer answer = order.get();
                    timers.after(WAY_MILLIS, () -> once.give(answer));
                });
            case ANSWER_LOST -> timers.after(WAY_MILLIS, order::get);
            case DELAYED -> timers.after(LATE_MILLIS, () -> carryOutLate(order, endpoint));
            case LOST -> {
                // Nothing arrives.
            }
            default -> throw new AssertionError(way);
        }
    }

    /** Gives the first answer alone. */
    private static final class Once<T> {
        private final Consumer<T> reply;
        private boolean given;

        Once(Consumer<T> reply) {
            this.reply = reply;
        }

        void give(T answer) {
            if (!given) {
                given = true;
                reply.accept(answer);
            }
        }
    }
}
