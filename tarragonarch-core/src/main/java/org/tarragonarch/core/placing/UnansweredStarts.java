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
 * The orders to start that the endpoints of one shard have not answered, as long as they may yet be carried out.
 *
 * <p>An incarnation that was told to stop such a run refuses its start. One that starts later was not told, and the
 * expiry in the order is on the clock of the earlier one, so it is told again.
 */
final class UnansweredStarts {
    /** Orders without an answer are carried out up to 12 s later; the rest is for the clocks. */
    static final long CARRIED_OUT_WITHIN_MILLIS = 15_000;

    /** The most orders that are kept for one endpoint; the oldest give way. An endpoint has room for some tens. */
    private static final int MOST_PER_ENDPOINT = 128;

    private final Map<Order, Sent> orders = new LinkedHashMap<>();
    private final Multiset<EndpointId> counts = HashMultiset.create();

    /** Records an order that leaves now. */
    void add(EndpointId endpoint, TaskRun run, long nowMillis) {
        expire(nowMillis);
        Order order = new Order(endpoint, run);
        Sent earlier = remove(order);
        if (counts.count(endpoint) >= MOST_PER_ENDPOINT) {
            orders.keySet().stream()
                    .filter(other -> other.endpoint().equals(endpoint))
                    .findFirst()
                    .ifPresent(this::remove);
        }
        orders.put(order, new Sent(nowMillis, earlier == null ? 1 : earlier.times() + 1));
        counts.add(endpoint);
    }

    /** Records that an order was answered. */
    void answered(EndpointId endpoint, TaskRun run) {
        Order order = new Order(endpoint, run);
        Sent sent = orders.get(order);
        if (sent != null && sent.times() > 1) {
            orders.put(order, new Sent(sent.atMillis(), sent.times() - 1));
        } else {
            remove(order);
        }
    }

    /** Records that a run has shown. Where it was ordered more than once, the other orders may yet be carried out. */
    void shown(EndpointId endpoint, TaskRun run) {
        Order order = new Order(endpoint, run);
        Sent sent = orders.get(order);
        if (sent != null && sent.times() == 1) {
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
    boolean anyAt(EndpointId endpoint, long nowMillis) {
        expire(nowMillis);
        return counts.contains(endpoint);
    }

    /** Returns the runs whose orders to the endpoint may yet be carried out, the oldest first. */
    ImmutableSet<TaskRun> at(EndpointId endpoint, long nowMillis) {
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
     * An order. The same run is ordered again where a client sends a job again that is over.
     *
     * @param endpoint where it went
     * @param run what is to be started
     */
    private record Order(EndpointId endpoint, TaskRun run) {}

    /**
     * When and how often an order was sent.
     *
     * @param atMillis when it left last
     * @param times how many of it were not answered
     */
    private record Sent(long atMillis, int times) {}
}
