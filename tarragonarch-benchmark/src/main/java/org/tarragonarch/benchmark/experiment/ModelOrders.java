package org.tarragonarch.benchmark.experiment;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tarragonarch.benchmark.time.VirtualTime;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.task.Delivery;
import org.tarragonarch.model.task.EndpointEntry;
import org.tarragonarch.model.task.EndpointOrders;
import org.tarragonarch.model.task.FencingToken;
import org.tarragonarch.model.task.OrderAnswer;
import org.tarragonarch.model.task.PollAnswer;
import org.tarragonarch.model.task.PollOrder;
import org.tarragonarch.model.task.StartOrder;
import org.tarragonarch.model.task.TaskRun;

/** The way from one node to all endpoints: nothing is lost, and everything takes its time. */
final class ModelOrders implements EndpointOrders {
    private final VirtualTime time;
    private final ExperimentTimers timers;
    private final LoadShape shape;
    private final int domain;
    private final Map<EndpointId, ModelEndpoint> endpoints;

    ModelOrders(
            VirtualTime time,
            ExperimentTimers timers,
            LoadShape shape,
            int domain,
            Map<EndpointId, ModelEndpoint> endpoints) {
        this.time = time;
        this.timers = timers;
        this.shape = shape;
        this.domain = domain;
        this.endpoints = endpoints;
    }

    @Override
    public void poll(EndpointEntry entry, PollOrder order, Delivery delivery, Consumer<PollAnswer> reply) {
        ModelEndpoint endpoint = endpoints.get(entry.id());
        travel(endpoint, () -> endpoint.poll(order, answer -> travelBack(endpoint, () -> reply.accept(answer))));
    }

    @Override
    public void start(EndpointEntry entry, StartOrder order, Delivery delivery, Consumer<OrderAnswer> reply) {
        ModelEndpoint endpoint = endpoints.get(entry.id());
        call(endpoint, () -> endpoint.start(order), reply);
    }

    @Override
    public void stop(
            EndpointEntry entry, FencingToken token, TaskRun run, Delivery delivery, Consumer<OrderAnswer> reply) {
        ModelEndpoint endpoint = endpoints.get(entry.id());
        call(endpoint, () -> endpoint.stop(token, run), reply);
    }

    private void call(ModelEndpoint endpoint, Supplier<OrderAnswer> order, Consumer<OrderAnswer> reply) {
        travel(endpoint, () -> {
            OrderAnswer answer = order.get();
            travelBack(endpoint, () -> reply.accept(answer));
        });
    }

    private void travel(ModelEndpoint endpoint, Runnable arrival) {
        long micros = shape.latencyMicros(domain, endpoint.domain());
        time.after(TimeUnit.MICROSECONDS.toNanos(micros), arrival);
    }

    private void travelBack(ModelEndpoint endpoint, Runnable arrival) {
        travel(endpoint, () -> {
            if (!timers.stopped()) {
                timers.whenAwake(arrival);
            }
        });
    }
}
