package org.tarragonarch.core.placing;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multiset;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.task.TaskRun;

/**
 * The start orders that the endpoints of one shard have not answered, as long as they may yet be carried out.
 *
 * <p>An incarnation that has answered a stop of such a run refuses its start. A later incarnation does not know of that
 * stop, and the expiry in the order is on the clock of the earlier one, so the run has to be stopped there again.
 */
final class UnansweredStarts {
    /** An order without an answer may be carried out up to 12 s later; 3 s are a margin for differences of clocks. */
    static final long CARRIED_OUT_WITHIN_MILLIS = 15_000;

    /** The orders kept for one endpoint, which runs at most some tens of tasks; beyond that the oldest is dropped. */
    private static final int MAX_PER_ENDPOINT = 128;

    private final Map<Order, Sent> orders = new LinkedHashMap<>();
    private final Multiset<EndpointId> counts = HashMultiset.create();

    /** Records an order that is sent now. */
    void add(EndpointId endpoint, TaskRun run, long nowMillis) {
        expire(nowMillis);
        Order order = new Order(endpoint, run);
        Sent earlier = remove(order);
        if (counts.count(endpoint) >= MAX_PER_ENDPOINT) {
            orders.keySet().stream()
                    .filter(other -> other.endpoint().equals(endpoint))
                    .findFirst()
                    .ifPresent(this::remove);
        }
        orders.put(order, new Sent(nowMillis, earlier == null ? 1 : earlier.unansweredSends() + 1));
        counts.add(endpoint);
    }

    /** Records that an order was answered. */
    void recordAnswered(EndpointId endpoint, TaskRun run) {
        Order order = new Order(endpoint, run);
        Sent sent = orders.get(order);
        if (sent != null && sent.unansweredSends() > 1) {
            orders.put(order, new Sent(sent.atMillis(), sent.unansweredSends() - 1));
        } else {
            remove(order);
        }
    }

    /** Records that a run was listed, or its end. If it was ordered more than once, the other orders remain. */
    void recordListed(EndpointId endpoint, TaskRun run) {
        Order order = new Order(endpoint, run);
        Sent sent = orders.get(order);
        if (sent != null && sent.unansweredSends() == 1) {
            remove(order);
        }
    }

    private Sent remove(Order order) {
        Sent removed = orders.remove(order);
        if (removed != null) {
            counts.remove(order.endpoint());
        }
        return removed;
    }

    /** Returns whether an order to the endpoint may yet be carried out. */
    boolean hasAny(EndpointId endpoint, long nowMillis) {
        expire(nowMillis);
        return counts.contains(endpoint);
    }

    /** Returns the runs whose orders to the endpoint may yet be carried out, the oldest first. */
    ImmutableSet<TaskRun> runsAt(EndpointId endpoint, long nowMillis) {
        expire(nowMillis);
        return orders.keySet().stream()
                .filter(order -> order.endpoint().equals(endpoint))
                .map(Order::run)
                .collect(ImmutableSet.toImmutableSet());
    }

    private void expire(long nowMillis) {
        Iterator<Map.Entry<Order, Sent>> oldestFirst = orders.entrySet().iterator();
        while (oldestFirst.hasNext()) {
            Map.Entry<Order, Sent> oldest = oldestFirst.next();
            if (nowMillis - oldest.getValue().atMillis() <= CARRIED_OUT_WITHIN_MILLIS) {
                return;
            }
            oldestFirst.remove();
            counts.remove(oldest.getKey().endpoint());
        }
    }

    /**
     * An order. The same run is ordered again if a client resubmits a job that is over.
     *
     * @param endpoint the endpoint that it was sent to
     * @param run the run to be started
     */
    private record Order(EndpointId endpoint, TaskRun run) {}

    /**
     * The time and the number of unanswered sends of an order.
     *
     * @param atMillis when it was last sent, on the steady clock
     * @param unansweredSends the number of sends without an answer
     */
    private record Sent(long atMillis, int unansweredSends) {}
}
