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
 * Jobs that have ended while some of their runs still hold capacity.
 *
 * <p>Guards against a job that is resubmitted while its first runs are being stopped: its tasks would run twice. Such
 * an offer waits here until the last run has ended.
 */
final class CancellingJobs {
    private final Map<JobId, PlacedJob> cancelling = new HashMap<>();
    /** The action after the last run of a job: the offer to admit, or empty if the job is to be evicted. */
    private final Map<JobId, Optional<WaitingOffer>> afterwards = new HashMap<>();

    boolean isEmpty() {
        return cancelling.isEmpty();
    }

    void add(PlacedJob job) {
        if (job.hasReservations()) {
            cancelling.put(job.id(), job);
        }
    }

    /** Marks a job for eviction: it is returned to its origin after its last run has ended. */
    void markEvicted(PlacedJob job) {
        afterwards.put(job.id(), Optional.empty());
    }

    /**
     * Defers the offer if runs of its job are still being stopped; returns whether it was deferred.
     *
     * <p>A job that was marked for eviction stays here instead, so that it is not offered elsewhere at the same time.
     */
    boolean defer(Offer offer, long nowMillis) {
        JobId id = offer.job().id();
        if (!cancelling.containsKey(id)) {
            return false;
        }
        afterwards.put(id, Optional.of(new WaitingOffer(offer, nowMillis)));
        return true;
    }

    /** Removes the deferred offer or the eviction mark of a job if it belongs to the origin. */
    void withdraw(NodeId origin, JobId id) {
        Optional<WaitingOffer> next = afterwards.get(id);
        if (next != null && originOf(id, next).equals(origin)) {
            afterwards.remove(id);
        }
    }

    /** Removes every deferred offer of an origin. */
    void originLost(NodeId origin) {
        afterwards
                .values()
                .removeIf(
                        next -> next.filter(waiting -> waiting.offer().origin().equals(origin))
                                .isPresent());
    }

    /** Removes the deferred offers and eviction marks of an origin, except those of jobs that it still has open. */
    void retain(NodeId origin, Set<JobId> open) {
        for (JobId id : ImmutableList.copyOf(afterwards.keySet())) {
            if (!open.contains(id)) {
                withdraw(origin, id);
            }
        }
    }

    /** Removes all eviction marks and returns the jobs without a deferred offer. */
    ImmutableList<PlacedJob> removeWithoutOffer() {
        afterwards.values().removeIf(Optional::isEmpty);
        return cancelling.values().stream()
                .filter(job -> !afterwards.containsKey(job.id()))
                .collect(ImmutableList.toImmutableList());
    }

    /** Removes the eviction mark of a job that holds no capacity; returns whether it had one. */
    boolean removeIfEvicted(PlacedJob job) {
        return !job.hasReservations()
                && cancelling.get(job.id()) == job
                && afterwards.remove(job.id(), Optional.empty());
    }

    /** Removes and returns all deferred offers. */
    ImmutableList<Offer> removeDeferred() {
        ImmutableList<Offer> offers = afterwards.values().stream()
                .flatMap(Optional::stream)
                .map(WaitingOffer::offer)
                .collect(ImmutableList.toImmutableList());
        afterwards.values().removeIf(Optional::isPresent);
        return offers;
    }

    /** Removes the job if it holds no capacity; returns the offer that was deferred until then. */
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
