package org.tarragonarch.core.placing;

import java.util.Optional;
import org.tarragonarch.model.task.Resources;

/**
 * Chooses the endpoint for a task: of those that take it, a warm one, and of these the one that has the least room.
 *
 * <p>Filling the fullest first keeps whole endpoints free for the largest tasks, which would otherwise wait while every
 * endpoint is half empty.
 */
final class EndpointChoice {
    private EndpointChoice() {}

    static Optional<HeldEndpoint> choose(Iterable<HeldEndpoint> endpoints, PlacedTask task, long nowMillis) {
        PlacedJob job = task.job();
        Resources need = job.need();
        HeldEndpoint best = null;
        boolean bestFailedBefore = false;
        for (HeldEndpoint candidate : endpoints) {
            if (!candidate.takes(need, nowMillis)
                    || !candidate.entry().service().equals(job.queue().service())) {
                continue;
            }
            boolean failedBefore = task.failedAt(candidate.entry().id());
            if (best == null || better(candidate, failedBefore, best, bestFailedBefore)) {
                best = candidate;
                bestFailedBefore = failedBefore;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean better(
            HeldEndpoint candidate, boolean failedBefore, HeldEndpoint best, boolean bestFailedBefore) {
        if (failedBefore != bestFailedBefore) {
            return bestFailedBefore;
        }
        if (candidate.entry().cold() != best.entry().cold()) {
            return best.entry().cold();
        }
        return candidate.free().milliCores() < best.free().milliCores();
    }
}
