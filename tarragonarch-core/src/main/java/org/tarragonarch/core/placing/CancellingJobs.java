package org.tarragonarch.core.placing;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
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
    /** What follows the last run of a job: the offer that waits for it, or none if the job is to be given back. */
    private final Map<JobId, Optional<WaitingOffer>> afterwards = new HashMap<>();

    void add(PlacedJob job) {
        if (job.hasReservations()) {
            cancelling.put(job.id(), job);
        }
    }

    /** Notes that a job which is still ending is to be given back to its origin afterwards. */
    void markEvicted(PlacedJob job) {
        afterwards.put(job.id(), Optional.empty());
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
        afterwards.put(id, Optional.of(new WaitingOffer(offer, nowMillis)));
        return true;
    }

    /** Forgets an offer that waits, and that a job is to be given back. */
    void withdraw(NodeId origin, JobId id) {
        Optional<WaitingOffer> next = afterwards.get(id);
        if (next != null && originOf(id, next).equals(origin)) {
            afterwards.remove(id);
        }
    }

    /** Forgets every waiting offer of a node. */
    void originLost(NodeId origin) {
        afterwards
                .values()
                .removeIf(
                        next -> next.filter(waiting -> waiting.offer().origin().equals(origin))
                                .isPresent());
    }

    /** Forgets a node's waiting offers, and that jobs are to be given back to it, but for those still open there. */
    void retain(NodeId origin, Set<JobId> open) {
        for (JobId id : ImmutableList.copyOf(afterwards.keySet())) {
            if (!open.contains(id)) {
                withdraw(origin, id);
            }
        }
    }

    /** Forgets every job that was to be given back, and returns them. */
    ImmutableList<PlacedJob> removeEvicted() {
        ImmutableList<PlacedJob> jobs = afterwards.entrySet().stream()
                .filter(entry -> entry.getValue().isEmpty())
                .map(entry -> cancelling.get(entry.getKey()))
                .collect(ImmutableList.toImmutableList());
        afterwards.values().removeIf(Optional::isEmpty);
        return jobs;
    }

    /** Returns whether the job, of which nothing takes room any more, was to be given back; it is no longer. */
    boolean removeIfEvicted(PlacedJob job) {
        return !job.hasReservations()
                && cancelling.get(job.id()) == job
                && afterwards.remove(job.id(), Optional.empty());
    }

    /** Forgets every waiting offer, and returns them. */
    ImmutableList<Offer> removeDeferred() {
        ImmutableList<Offer> offers = afterwards.values().stream()
                .flatMap(Optional::stream)
                .map(WaitingOffer::offer)
                .collect(ImmutableList.toImmutableList());
        afterwards.values().removeIf(Optional::isPresent);
        return offers;
    }

    /** Forgets the job if nothing of it takes room; returns the offer that waited for that. */
    Optional<WaitingOffer> removeIfStopped(PlacedJob job) {
        if (job.hasReservations() || !cancelling.remove(job.id(), job)) {
            return Optional.empty();
        }
        Optional<WaitingOffer> next = afterwards.remove(job.id());
        return next == null ? Optional.empty() : next;
    }

    private NodeId originOf(JobId id, Optional<WaitingOffer> next) {
        return next.map(waiting -> waiting.offer().origin())
                .orElseGet(() -> cancelling.get(id).origin());
    }
}
