package org.tarragonarch.core.placing;

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
        CapacityCount capacity = CapacityCount.of(endpoints, job, now);
        long missing = Math.max(0, job.step().count() - capacity.freePlaces());
        long ahead = pending.waitingTaskMillis(now) + missing * job.expectedRunMillis();
        boolean startsNow = missing == 0 && pending.isEmpty();
        long wait = capacity.places() == 0 || startsNow ? 0 : (long) (ahead / capacity.weightedPlaces());
        long deadlineWithin = job.times().deadlineMillis() - now;
        long inTimeWithin = Math.min(job.times().inTimeMillis() - now, deadlineWithin);
        boolean roomForAll =
                pending.waitingTasks() + job.step().count() <= capacity.freePlaces() + capacity.initializingPlaces();
        return new CompletionEstimate(
                wait,
                job.expectedRunMillis(),
                job.slowestRunMillis(),
                inTimeWithin,
                deadlineWithin,
                capacity.places(),
                capacity.freePlaces(),
                pending.size(),
                roomForAll);
    }
}
