package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
    private final Set<JobId> evicted = new HashSet<>();

    void add(PlacedJob job) {
        if (job.holdsRoom()) {
            cancelling.put(job.id(), job);
        }
    }

    /** Notes that a job which is still ending is to be given back to its origin afterwards. */
    void evict(PlacedJob job) {
        evicted.add(job.id());
    }

    /**
     * Keeps the offer if its job is still ending; returns whether it was kept.
     *
     * <p>A job that was to be given back stays here after all, so that it is not offered elsewhere at the same time.
     */
    boolean defer(Offer offer, long nowMillis) {
        JobId id = offer.job().id();
        if (!cancelling.containsKey(id)) {
            return false;
        }
        evicted.remove(id);
        deferred.put(id, new WaitingOffer(offer, nowMillis));
        return true;
    }

    /** Forgets an offer that waits, and that a job is to be given back. */
    void withdraw(NodeId origin, JobId id) {
        PlacedJob job = cancelling.get(id);
        if (job != null && job.origin().equals(origin)) {
            evicted.remove(id);
        }
        WaitingOffer waiting = deferred.get(id);
        if (waiting != null && waiting.offer().origin().equals(origin)) {
            deferred.remove(id);
        }
    }

    /** Forgets every waiting offer of a node. */
    void originLost(NodeId origin) {
        deferred.values().removeIf(waiting -> waiting.offer().origin().equals(origin));
    }

    /** Forgets every job that was to be given back, and returns them. */
    ImmutableList<PlacedJob> removeEvicted() {
        ImmutableList<PlacedJob> jobs = evicted.stream().map(cancelling::get).collect(ImmutableList.toImmutableList());
        evicted.clear();
        return jobs;
    }

    /** Returns whether the job, of which nothing takes room any more, was to be given back; it is no longer. */
    boolean removeIfEvicted(PlacedJob job) {
        return !job.holdsRoom() && cancelling.get(job.id()) == job && evicted.remove(job.id());
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
