package org.tarragonarch.core.placing;

import java.util.Optional;
import org.tarragonarch.model.task.Resources;

/**
 * Chooses the endpoint for a task: of the endpoints that accept it, one on which the task has not failed yet, then the
 * one that puts the least other work at risk, then a warm one, then one of the fastest speed class, then the one with
 * the least free capacity.
 *
 * <p>Taking the fastest first leaves the most time for a task that turns out to be long. Keeping fast endpoints free
 * for tasks that need them lowers the total value of the jobs served at moderate load and makes no difference at full
 * load, where all endpoints are in use.
 *
 * <p>Filling the fullest endpoint first keeps whole endpoints free for the largest tasks, which would otherwise wait
 * while every endpoint is half empty.
 */
final class EndpointChoice {
    private EndpointChoice() {}

    static Optional<HeldEndpoint> choose(Iterable<HeldEndpoint> endpoints, PlacedTask task, long nowMillis) {
        PlacedJob job = task.job();
        Resources need = job.taskResources();
        HeldEndpoint best = null;
        boolean bestFailedBefore = false;
        for (HeldEndpoint candidate : endpoints) {
            if (!candidate.accepts(need, nowMillis)
                    || !candidate.entry().service().equals(job.queue().service())) {
                continue;
            }
            boolean failedBefore = task.hasFailedAt(candidate.entry().incarnation());
            if (best == null || better(task, candidate, failedBefore, best, bestFailedBefore)) {
                best = candidate;
                bestFailedBefore = failedBefore;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean better(
            PlacedTask task,
            HeldEndpoint candidate,
            boolean failedBefore,
            HeldEndpoint best,
            boolean bestFailedBefore) {
        if (failedBefore != bestFailedBefore) {
            return bestFailedBefore;
        }
        int exposed = exposure(candidate, task);
        int exposedAtBest = exposure(best, task);
        if (exposed != exposedAtBest) {
            return exposed < exposedAtBest;
        }
        if (candidate.entry().cold() != best.entry().cold()) {
            return best.entry().cold();
        }
        double speed = candidate.speed().classSpeed();
        double speedOfBest = best.speed().classSpeed();
        if (speed != speedOfBest) {
            return speed > speedOfBest;
        }
        return candidate.freeCapacity().milliCores() < best.freeCapacity().milliCores();
    }

    /**
     * Returns how much other work is put at risk if the task is started on the endpoint, from 0 (none) to 2. A task
     * is suspect if an endpoint has crashed while running it; it is best placed alone, and next best beside other
     * suspect tasks.
     */
    private static int exposure(HeldEndpoint endpoint, PlacedTask task) {
        if (endpoint.reservedCapacity().isEmpty()) {
            return 0;
        }
        boolean hostsSuspect = endpoint.reservedCapacity().hasSuspectTask();
        if (task.hasCrashed()) {
            return hostsSuspect ? 1 : 2;
        }
        return hostsSuspect ? 2 : 0;
    }
}
