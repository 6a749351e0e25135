package org.tarragonarch.core.placing;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multiset;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.TaskRun;

/**
 * The start orders that the endpoints of one shard have not answered and may still carry out.
 *
 * <p>An incarnation that has answered a stop of such a run refuses its start. A later incarnation does not know that
 * stop, and the expiry in the order refers to the clock of the earlier one, so the run must be stopped again.
 */
final class UnansweredStarts {
    /** An unanswered order may be carried out up to 12 s later; 3 s are a margin for clock differences. */
    static final long CARRIED_OUT_WITHIN_MILLIS = 15_000;

    /** The maximum number of orders kept for one endpoint, which runs at most a few tens of tasks; drops the oldest. */
    private static final int MAX_PER_ENDPOINT = 128;

    private final Map<Order, Sent> orders = new LinkedHashMap<>();
    private final Multiset<EndpointId> counts = HashMultiset.create();

    /** Records an order that is being sent. */
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

    /** Records that a run or its end was listed, which settles the order unless it was sent more than once. */
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

    /** Returns whether the endpoint may still carry out any unanswered order. */
    boolean hasAny(EndpointId endpoint, long nowMillis) {
        expire(nowMillis);
        return counts.contains(endpoint);
    }

    /** Returns the runs that the endpoint may still start by unanswered orders, the oldest order first. */
    ImmutableSet<TaskRun> runsAt(EndpointId endpoint, long nowMillis) {
        expire(nowMillis);
        return orders.keySet().stream()
                .filter(order -> order.endpoint().equals(endpoint))
                .map(Order::run)
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns the highest number of a run of the job that an unanswered order may still start; 0 if there is none. */
    int lastRunNumber(JobId job, long nowMillis) {
        expire(nowMillis);
        return orders.keySet().stream()
                .map(Order::run)
                .filter(run -> run.task().belongsTo(job))
                .mapToInt(TaskRun::run)
                .max()
                .orElse(0);
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
     * A start order. The same run is ordered again if a client resubmits a job that is over.
     *
     * @param endpoint the endpoint that the order was sent to
     * @param run the run to start
     */
    private record Order(EndpointId endpoint, TaskRun run) {}

    /**
     * The time and the number of unanswered sends of an order.
     *
     * @param atMillis when the order was last sent, on the steady clock
     * @param unansweredSends the number of sends without an answer
     */
    private record Sent(long atMillis, int unansweredSends) {}
}
