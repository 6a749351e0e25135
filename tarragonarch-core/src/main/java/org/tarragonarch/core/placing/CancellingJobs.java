package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tarragonarch.model.id.NodeId;
import org.tarragonarch.model.task.JobId;
import org.tarragonarch.model.task.Offer;

/**
 * Jobs that are over while runs of theirs still take room.
 *
 * <p>Guards against a job that is sent again while its first runs are being stopped: its tasks would run twice. Such an
 * offer waits here until the last run is gone.
 */
final class CancellingJobs {
    private final Map<JobId, PlacedJob> cancelling = new HashMap<>();
    private final Map<JobId, WaitingOffer> deferred = new HashMap<>();

    void add(PlacedJob job) {
        if (job.holdsRoom()) {
            cancelling.put(job.id(), job);
        }
    }

    /** Keeps the offer if its job is still ending; returns whether it was kept. */
    boolean defer(Offer offer, long nowMillis) {
        JobId id = offer.job().id();
        if (!cancelling.containsKey(id)) {
            return false;
        }
        deferred.put(id, new WaitingOffer(offer, nowMillis));
        return true;
    }

    /** Forgets an offer that waits. */
    void withdraw(NodeId origin, JobId id) {
        WaitingOffer waiting = deferred.get(id);
        if (waiting != null && waiting.offer().origin().equals(origin)) {
            deferred.remove(id);
        }
    }

    /** Forgets every waiting offer of a node. */
    void originLost(NodeId origin) {
        deferred.values().removeIf(waiting -> waiting.offer().origin().equals(origin));
    }

    /** Forgets every waiting offer, and returns them. */
    ImmutableList<Offer> removeDeferred() {
        ImmutableList<Offer> offers =
                deferred.values().stream().map(WaitingOffer::offer).collect(ImmutableList.toImmutableList());
        deferred.clear();
        return offers;
    }

    /** Forgets the job if nothing of it takes room; returns the offer that waited for that. */
    Optional<WaitingOffer> removeIfOver(PlacedJob job) {
        if (job.holdsRoom() || !cancelling.remove(job.id(), job)) {
            return Optional.empty();
        }
        return Optional.ofNullable(deferred.remove(job.id()));
    }
}
