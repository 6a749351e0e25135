package org.tarragonarch.core.placing;

import java.util.Optional;
import org.tarragonarch.core.share.JobNeed;
import org.tarragonarch.core.share.PoolPlaces;
import org.tarragonarch.core.share.PoolShares;
import org.tarragonarch.core.share.ShareAdmission;
import org.tarragonarch.core.share.ShareState;
import org.tarragonarch.core.share.ShareWait;
import org.tarragonarch.model.task.Resources;

/** Says what to expect of a job that would be taken now. */
final class CompletionEstimator {
    private final Iterable<HeldEndpoint> endpoints;
    private final PendingShares pending;
    private final PoolShares shares;

    CompletionEstimator(Iterable<HeldEndpoint> endpoints, PendingShares pending, PoolShares shares) {
        this.endpoints = endpoints;
        this.pending = pending;
        this.shares = shares;
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
        long capacity = 0;
        for (HeldEndpoint endpoint : endpoints) {
            boolean usable = endpoint.takes(Resources.NONE, now);
            if (!usable && !endpoint.isInitializing()
                    || !endpoint.entry().service().equals(job.queue().service())) {
                continue;
            }
            long perTask = Math.max(1, job.need().milliCores());
            long whole = endpoint.entry().capacity().milliCores() / perTask;
            places += whole;
            capacity += endpoint.entry().capacity().milliCores();
            initializingPlaces += usable ? 0 : whole;
            freePlaces += usable && job.need().fitsInto(endpoint.free())
                    ? endpoint.free().milliCores() / perTask
                    : 0;
        }
        PendingJobs own = pending.of(job.share());
        boolean roomForAll = pending.waitingTasks() + job.step().count() <= freePlaces + initializingPlaces;
        long missing = Math.max(0, job.step().count() - freePlaces);
        long ahead = own.waitingTaskMillis(now) + missing * job.expectedRunMillis();
        long wait = places == 0 || missing == 0 && own.isEmpty() ? 0 : ahead / places;
        Optional<ShareState> share = Optional.empty();
        if (shares.plan().isConfigured()) {
            ShareWait inShare = waitInShare(job, new PoolPlaces(capacity, places, freePlaces), now);
            wait = inShare.millis();
            roomForAll &= inShare.fitsBelowCeiling();
            share = Optional.of(inShare.state());
        }
        long deadlineWithin = job.times().deadlineMillis() - now;
        long inTimeWithin = Math.min(job.times().inTimeMillis() - now, deadlineWithin);
        return new CompletionEstimate(
                wait,
                job.expectedRunMillis(),
                job.slowestRunMillis(),
                inTimeWithin,
                deadlineWithin,
                places,
                freePlaces,
                own.size(),
                roomForAll,
                share);
    }

    private ShareWait waitInShare(PlacedJob job, PoolPlaces places, long now) {
        PendingJobs.Ahead ahead = pending.of(job.share()).ahead(now);
        ShareAdmission admission = shares.admission(job.share(), places.capacityMilliCores());
        JobNeed need = new JobNeed(job.step().count(), Math.max(1, job.need().milliCores()), job.expectedRunMillis());
        return admission.waitFor(need, places, ahead.milliCores(), ahead.work());
    }
}
