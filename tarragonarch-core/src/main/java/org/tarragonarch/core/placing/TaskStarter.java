package org.tarragonarch.core.placing;

import java.util.Optional;
import java.util.function.Consumer;
import org.tarragonarch.core.share.PoolShares;
import org.tarragonarch.model.task.Timers;

/** Starts the tasks of pending jobs wherever there is room, in the order of {@link StartOrder}. */
final class TaskStarter {
    /**
     * How often every pending job is checked for whether it is still of use, in milliseconds. Ends come far more often
     * in a burst, and the queue is long then.
     */
    private static final long EXPIRY_MILLIS = 5;

    private final HeldShards shards;
    private final PendingShares pending;
    private final PoolShares poolShares;
    private final PoolCapacity capacity;
    private final Timers timers;
    private final Consumer<PlacedJob> giveUp;
    private boolean planned;
    private long expiredAtMillis = Long.MIN_VALUE / 2;

    /**
     * Creates the starter of a placer.
     *
     * @param giveUp ends a job whose answer would come too late
     */
    TaskStarter(
            HeldShards shards,
            PendingShares pending,
            PoolShares poolShares,
            PoolCapacity capacity,
            Timers timers,
            Consumer<PlacedJob> giveUp) {
        this.shards = shards;
        this.pending = pending;
        this.poolShares = poolShares;
        this.capacity = capacity;
        this.timers = timers;
        this.giveUp = giveUp;
    }

    /** Starts what fits once the events at hand are taken in. */
    void planStart() {
        if (!planned) {
            planned = true;
            timers.schedule(0, this::startPending);
        }
    }

    /** Starts what fits now. */
    void startPending() {
        planned = false;
        long now = timers.nowMillis();
        if (now - expiredAtMillis >= EXPIRY_MILLIS) {
            expiredAtMillis = now;
            expirePending(now);
        }
        startInOrder(now);
    }

    private void expirePending(long now) {
        for (PlacedJob job : pending.inOrder()) {
            if (job.isExpired(now)) {
                giveUp.accept(job);
            }
        }
    }

    /** Starts what can be in time first, and then what cannot; ends as soon as there is room for no job at all. */
    private void startInOrder(long now) {
        long roomiest = shards.largestFreeMilliCores(now);
        StartOrder order = new StartOrder(pending, poolShares, capacity, now);
        Optional<PlacedJob> next = order.next(roomiest);
        while (next.isPresent()) {
            roomiest = startIfRoom(next.get(), order, now, roomiest);
            next = order.next(roomiest);
        }
    }

    /**
     * Starts what fits of a job.
     *
     * @param roomiest the most processor time that one endpoint has free; most of a long queue needs no closer check
     * @return the same after what was started
     */
    private long startIfRoom(PlacedJob job, StartOrder order, long now, long roomiest) {
        if (job.over() || job.need().milliCores() > roomiest) {
            return roomiest;
        }
        int waitingBefore = job.waitingTasks();
        if (startWaiting(job, order, now)) {
            pending.remove(job);
        } else if (job.waitingTasks() < waitingBefore) {
            pending.of(job.share()).begun(job);
        }
        return job.waitingTasks() == waitingBefore ? roomiest : shards.largestFreeMilliCores(now);
    }

    /** Starts what fits; returns whether nothing of the job waits any more. */
    private boolean startWaiting(PlacedJob job, StartOrder order, long now) {
        for (PlacedTask task : job.tasks()) {
            if (!task.waiting()) {
                continue;
            }
            if (!order.mayStart(job.share(), job.need().milliCores())) {
                return false;
            }
            Optional<HeldEndpoint> endpoint = EndpointChoice.choose(shards.endpoints(), task, now);
            if (endpoint.isEmpty()) {
                return false;
            }
            endpoint.get().start(task, task.takeRun(), job.need());
        }
        return true;
    }
}
