package org.tarragonarch.core.placing;

import org.tarragonarch.model.task.Resources;

/** Says what to expect of a job that would be taken now. */
final class CompletionEstimator {
    private final Iterable<HeldEndpoint> endpoints;
    private final PendingJobs pending;

    CompletionEstimator(Iterable<HeldEndpoint> endpoints, PendingJobs pending) {
        this.endpoints = endpoints;
        this.pending = pending;
    }

    /**
     * Returns what to expect of a job.
     *
     * <p>An endpoint that is just being opened counts as room that is taken: right after a takeover or a restart every
     * endpoint is, for some 50 ms, and a job that waits that long is mostly still in time.
     */
    CompletionEstimate of(PlacedJob job, long now) {
        long places = 0;
        long freePlaces = 0;
        long initializingPlaces = 0;
        for (HeldEndpoint endpoint : endpoints) {
            boolean usable = endpoint.takes(Resources.NONE, now);
            if (!usable && !endpoint.isInitializing()
                    || !endpoint.entry().service().equals(job.queue().service())) {
                continue;
            }
            long perTask = Math.max(1, job.need().milliCores());
            long whole = endpoint.entry().capacity().milliCores() / perTask;
            places += whole;
            initializingPlaces += usable ? 0 : whole;
            freePlaces += usable && job.need().fitsInto(endpoint.free())
                    ? endpoint.free().milliCores() / perTask
                    : 0;
        }
        long missing = Math.max(0, job.step().count() - freePlaces);
        long ahead = pending.waitingTaskMillis(now) + missing * job.expectedRunMillis();
        long wait = places == 0 || missing == 0 && pending.isEmpty() ? 0 : ahead / places;
        long deadlineWithin = job.times().deadlineMillis() - now;
        long inTimeWithin = Math.min(job.times().inTimeMillis() - now, deadlineWithin);
        boolean roomForAll = pending.waitingTasks() + job.step().count() <= freePlaces + initializingPlaces;
        return new CompletionEstimate(
                wait,
                job.expectedRunMillis(),
                job.slowestRunMillis(),
                inTimeWithin,
                deadlineWithin,
                places,
                freePlaces,
                pending.size(),
                roomForAll);
    }
}
