package org.tarragonarch.core.cluster;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.tarragonarch.core.placing.VirtualTimers;
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

/** The calls of one node, which can be cut off from each endpoint for some time. */
final class CutOrders implements EndpointOrders {
    private final VirtualTimers timers;
    private final EndpointOrders orders;
    private final Consumer<String> log;
    private final Map<EndpointId, Cut> cuts = new HashMap<>();

    /**
     * Creates the calls of a node that reaches all endpoints.
     *
     * @param log receives the orders that the node sends
     */
    CutOrders(VirtualTimers timers, EndpointOrders orders, Consumer<String> log) {
        this.timers = timers;
        this.orders = orders;
        this.log = log;
    }

    /** Cuts the node off from an endpoint for the given time, which replaces an earlier cut. */
    void cut(EndpointId endpoint, EndpointCut kind, long millis) {
        cuts.put(endpoint, new Cut(kind, timers.nowMillis() + millis));
    }

    private boolean isCut(EndpointEntry entry, EndpointCut kind) {
        Cut cut = cuts.get(entry.id());
        return cut != null && cut.kind() == kind && timers.nowMillis() < cut.untilMillis();
    }

    private boolean losesCalls(EndpointEntry entry) {
        return isCut(entry, EndpointCut.CALLS) || isCut(entry, EndpointCut.CALLS_UNTIL_END);
    }

    private boolean losesAnswers(EndpointEntry entry) {
        return losesCalls(entry) || isCut(entry, EndpointCut.ANSWERS);
    }

    @Override
    public void poll(EndpointEntry entry, PollOrder order, Delivery delivery, Consumer<PollAnswer> reply) {
        long timeoutMillis = order.waitMillis() + delivery.answerWithinMillis();
        if (losesCalls(entry)) {
            timers.schedule(timeoutMillis, () -> reply.accept(PollAnswer.failed(OrderResult.UNKNOWN)));
            return;
        }
        boolean[] answered = {false};
        Consumer<PollAnswer> once = answer -> {
            if (!answered[0]) {
                answered[0] = true;
                reply.accept(answer);
            }
        };
        timers.schedule(timeoutMillis, () -> once.accept(PollAnswer.failed(OrderResult.UNKNOWN)));
        orders.poll(entry, order, delivery, answer -> {
            if (!losesAnswers(entry)) {
                once.accept(answer);
            }
        });
    }

    @Override
    public void start(EndpointEntry entry, StartOrder order, Delivery delivery, Consumer<OrderAnswer> reply) {
        log.accept("start " + order.run() + " under " + order.token() + " sent to " + entry.id());
        order(entry, delivery, reply, answer -> orders.start(entry, order, delivery, answer));
    }

    @Override
    public void stop(
            EndpointEntry entry, FencingToken token, TaskRun run, Delivery delivery, Consumer<OrderAnswer> reply) {
        log.accept("stop " + run + " sent to " + entry.id());
        order(entry, delivery, reply, answer -> orders.stop(entry, token, run, delivery, answer));
    }

    private void order(
            EndpointEntry entry,
            Delivery delivery,
            Consumer<OrderAnswer> reply,
            Consumer<Consumer<OrderAnswer>> order) {
        boolean[] answered = {false};
        Consumer<OrderAnswer> once = answer -> {
            if (!answered[0]) {
                answered[0] = true;
                reply.accept(answer);
            }
        };
        timers.schedule(delivery.answerWithinMillis(), () -> once.accept(OrderAnswer.of(OrderResult.UNKNOWN)));
        if (isCut(entry, EndpointCut.CALLS_UNTIL_END)) {
            long untilEnd = cuts.get(entry.id()).untilMillis() - timers.nowMillis();
            timers.schedule(untilEnd, () -> order.accept(lost -> {}));
        } else if (!losesCalls(entry)) {
            order.accept(answer -> {
                if (!losesAnswers(entry)) {
                    once.accept(answer);
                }
            });
        }
    }

    private record Cut(EndpointCut kind, long untilMillis) {}
}
