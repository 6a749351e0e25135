package org.tarragonarch.core.placing;

import java.util.Optional;
import java.util.function.Consumer;
import org.tarragonarch.core.share.PoolShares;
import org.tarragonarch.model.task.Timers;

/** Starts the tasks of pending jobs on endpoints with free capacity, in the order of {@link StartOrder}. */
final class TaskStarter {
    /**
     * The minimum interval between checks of all pending jobs for expiry. In a burst, runs end far more often than this
     * and the queue is long.
     */
    private static final long EXPIRY_CHECK_MILLIS = 5;

    private final HeldShards shards;
    private final PendingShares pending;
    private final PoolShares poolShares;
    private final PoolCapacity capacity;
    private final TasksAwaitingOrigin awaitingOrigin;
    private final Timers timers;
    private final Consumer<PlacedJob> giveUp;
    private boolean scheduled;
    private long lastExpiryCheckMillis = Long.MIN_VALUE / 2;

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
            TasksAwaitingOrigin awaitingOrigin,
            Timers timers,
            Consumer<PlacedJob> giveUp) {
        this.shards = shards;
        this.pending = pending;
        this.poolShares = poolShares;
        this.capacity = capacity;
        this.awaitingOrigin = awaitingOrigin;
        this.timers = timers;
        this.giveUp = giveUp;
    }

    /** Schedules a start of pending tasks after the events at hand are processed. */
    void scheduleStart() {
        if (!scheduled) {
            scheduled = true;
            timers.schedule(0, this::startPending);
        }
    }

    /** Starts the pending tasks that fit now. */
    void startPending() {
        scheduled = false;
        long now = timers.nowMillis();
        if (now - lastExpiryCheckMillis >= EXPIRY_CHECK_MILLIS) {
            lastExpiryCheckMillis = now;
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

    /** Starts jobs that can be in time first, then the others; stops as soon as no job fits. */
    private void startInOrder(long now) {
        long largestFree = shards.largestFreeMilliCores(now);
        StartOrder order = new StartOrder(pending, poolShares, capacity, now);
        Optional<PlacedJob> next = order.next(largestFree);
        while (next.isPresent()) {
            largestFree = startIfFits(next.get(), order, now, largestFree);
            next = order.next(largestFree);
        }
    }

    /**
     * Starts the tasks of a job that fit.
     *
     * @param largestFree the largest free processor time of one endpoint, which rules out most jobs of a long queue
     *     cheaply
     * @return the largest free processor time after these starts
     */
    private long startIfFits(PlacedJob job, StartOrder order, long now, long largestFree) {
        if (job.isOver() || job.taskResources().milliCores() > largestFree) {
            return largestFree;
        }
        if (!awaitingOrigin.checkMayStart(job, now)) {
            pending.remove(job);
            return largestFree;
        }
        int waitingBefore = job.waitingTasks();
        if (startWaiting(job, order, now)) {
            pending.remove(job);
        } else if (job.waitingTasks() < waitingBefore) {
            pending.jobsOf(job.share()).started(job);
        }
        return job.waitingTasks() == waitingBefore ? largestFree : shards.largestFreeMilliCores(now);
    }

    /** Starts the tasks that fit; returns whether no task of the job waits any longer. */
    private boolean startWaiting(PlacedJob job, StartOrder order, long now) {
        for (PlacedTask task : job.tasks()) {
            if (!task.isWaiting()) {
                continue;
            }
            if (!order.staysBelowCeiling(job.share(), job.taskResources().milliCores())) {
                return false;
            }
            Optional<HeldEndpoint> endpoint = EndpointChoice.choose(shards.endpoints(), task, now);
            if (endpoint.isEmpty()) {
                return false;
            }
            endpoint.get().start(task, task.allocateRun(), job.taskResources());
        }
        return true;
    }
}
