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
import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.OrderResult;
import org.tarragonarch.model.task.PollAnswer;
import org.tarragonarch.model.task.PollOrder;
import org.tarragonarch.model.task.StartOrder;
import org.tarragonarch.model.task.TaskRun;

/** Delivers orders to fake endpoints, with faults that a test can inject. */
public final class FakeOrders implements EndpointOrders {
    /** A fault in the delivery of an order. */
    public enum Fault {
        /** The order and its answer arrive. */
        NONE,
        /** The order is lost. */
        LOST,
        /** The order arrives, and its answer is lost. */
        ANSWER_LOST,
        /** The order arrives {@link #delayMillis} later, and its answer is lost. */
        DELAYED
    }

    private static final long ONE_WAY_MILLIS = 1;
    private static final long FIRST_DELAY_MILLIS = 3_000;

    final Map<EndpointId, FakeEndpoint> endpoints = new LinkedHashMap<>();
    final Map<EndpointId, Fault> faults = new HashMap<>();
    Supplier<Fault> startFault = () -> Fault.NONE;
    Supplier<Fault> pollFault = () -> Fault.NONE;
    Supplier<Fault> stopFault = () -> Fault.NONE;
    long delayMillis = FIRST_DELAY_MILLIS;
    long listMillis = ONE_WAY_MILLIS;
    private final Map<EndpointId, Long> listMillisAt = new HashMap<>();
    private final VirtualTimers timers;
    private final long milliCores;

    /**
     * Creates an instance without endpoints.
     *
     * @param milliCores the processor time that each task needs, in thousandths of a core
     */
    public FakeOrders(VirtualTimers timers, long milliCores) {
        this.timers = timers;
        this.milliCores = milliCores;
    }

    /** Adds an endpoint, which replaces an earlier one with the same id. */
    public void add(EndpointId id, FakeEndpoint endpoint) {
        endpoints.put(id, endpoint);
    }

    /** Sets the fault of all calls to an endpoint from now on. */
    public void setFault(EndpointId id, Fault fault) {
        faults.put(id, fault);
    }

    /** Sets the time that the lists of an endpoint are on their way from now on, in milliseconds. */
    public void setListMillis(EndpointId id, long millis) {
        listMillisAt.put(id, millis);
    }

    /** Lets the lists of an endpoint arrive without delay from now on. */
    public void clearListMillis(EndpointId id) {
        listMillisAt.remove(id);
    }

    @Override
    public void poll(EndpointEntry entry, PollOrder order, Delivery delivery, Consumer<PollAnswer> reply) {
        Once<PollAnswer> once = new Once<>(reply);
        long timeoutMillis = order.waitMillis() + delivery.answerWithinMillis();
        timers.schedule(timeoutMillis, () -> once.give(PollAnswer.failed(OrderResult.UNKNOWN)));
        Fault drawn = fault(entry) == Fault.NONE ? pollFault.get() : fault(entry);
        if (drawn == Fault.NONE) {
            timers.schedule(
                    ONE_WAY_MILLIS,
                    () -> endpoints.get(entry.id()).poll(order, answer -> {
                        if (fault(entry) == Fault.NONE) {
                            timers.schedule(listMillisAt.getOrDefault(entry.id(), listMillis), () -> once.give(answer));
                        }
                    }));
        }
    }

    @Override
    public void start(EndpointEntry entry, StartOrder order, Delivery delivery, Consumer<OrderAnswer> reply) {
        Fault drawn = fault(entry) == Fault.NONE ? startFault.get() : fault(entry);
        FakeEndpoint endpoint = endpoints.get(entry.id());
        send(drawn, () -> endpoint.start(order, milliCores), endpoint, delivery, reply);
    }

    @Override
    public void stop(
            EndpointEntry entry, FencingToken token, TaskRun run, Delivery delivery, Consumer<OrderAnswer> reply) {
        Fault drawn = fault(entry) == Fault.NONE ? stopFault.get() : fault(entry);
        FakeEndpoint endpoint = endpoints.get(entry.id());
        send(drawn, () -> endpoint.stop(token, run), endpoint, delivery, reply);
    }

    private Fault fault(EndpointEntry entry) {
        return faults.getOrDefault(entry.id(), Fault.NONE);
    }

    /**
     * Delivers a delayed order, unless the endpoint has just restarted: a holder cannot stop an order that arrives
     * before its first call to a new incarnation.
     */
    private static void deliverDelayed(Supplier<OrderAnswer> order, FakeEndpoint endpoint) {
        if (!endpoint.hasJustRestarted()) {
            order.get();
        }
    }

    private void send(
            Fault fault,
            Supplier<OrderAnswer> order,
            FakeEndpoint endpoint,
            Delivery delivery,
            Consumer<OrderAnswer> reply) {
        Once<OrderAnswer> once = new Once<>(reply);
        timers.schedule(delivery.answerWithinMillis(), () -> once.give(OrderAnswer.of(OrderResult.UNKNOWN)));
        switch (fault) {
            case NONE ->
                timers.schedule(ONE_WAY_MILLIS, () -> {
                    OrderAnswer answer = order.get();
                    timers.schedule(ONE_WAY_MILLIS, () -> once.give(answer));
                });
            case ANSWER_LOST -> timers.schedule(ONE_WAY_MILLIS, order::get);
            case DELAYED -> timers.schedule(delayMillis, () -> deliverDelayed(order, endpoint));
            case LOST -> {
                // The order is not delivered.
            }
            default -> throw new AssertionError(fault);
        }
    }

    /** Passes on only the first answer. */
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
