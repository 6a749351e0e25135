package org.tarragonarch.core.placement;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.service.ServiceObjective;

/**
 * The endpoints of one service in one failure domain that can be sent a task now.
 *
 * <p>Not thread-safe.
 */
public final class SlotPool {
    private final PlacementStrategy strategy;
    private final FreeSlotIndex all = new FreeSlotIndex();
    private final FreeSlotIndex likelyAccepted = new FreeSlotIndex();
    private final SendPace pace = new SendPace();
    private ServiceObjective lastObjective = ServiceObjective.FEW_MESSAGES;

    private SlotPool(PlacementStrategy strategy) {
        this.strategy = checkNotNull(strategy, "strategy");
    }

    /** Returns an empty pool. */
    public static SlotPool create(PlacementStrategy strategy) {
        return new SlotPool(strategy);
    }

    /** Adds an endpoint, or updates one whose load has changed; removes one that this node knows to be full. */
    public void put(EndpointSlots endpoint) {
        if (!endpoint.hasFreeSlot()) {
            remove(endpoint);
            return;
        }
        int rank = strategy.rank(endpoint);
        all.put(endpoint, rank);
        if (strategy.isLikelyAccepted(endpoint)) {
            likelyAccepted.put(endpoint, rank);
        } else {
            likelyAccepted.remove(endpoint);
        }
    }

    /** Removes an endpoint, if present. */
    public void remove(EndpointSlots endpoint) {
        all.remove(endpoint);
        likelyAccepted.remove(endpoint);
    }

    /**
     * Returns the endpoint that the strategy prefers; empty if the task should wait.
     *
     * @param slotsLeft the number of slots that must appear free beyond the one needed if its home is not this node
     */
    public Optional<EndpointSlots> choose(
            ServiceObjective objective, int slotsLeft, Set<EndpointId> avoid, Random random, long nowNanos) {
        lastObjective = objective;
        Optional<EndpointSlots> chosen = strategy.choose(this, slotsLeft, allowsRiskySend(nowNanos), avoid, random);
        if (chosen.isPresent() && !strategy.isLikelyAccepted(chosen.get())) {
            pace.sent(nowNanos);
        }
        return chosen;
    }

    /** Returns whether a send that is likely to be refused is permitted now. */
    public boolean allowsRiskySend(long nowNanos) {
        return nowNanos >= pace.nextNanos();
    }

    /** Returns the time from which a send that is likely to be refused is permitted. */
    public long nextRiskySendNanos() {
        return pace.nextNanos();
    }

    /** Records that an endpoint started a task. */
    public void started() {
        pace.started(lastObjective);
    }

    /** Records that an endpoint refused a task as full; its slot must have been released before. */
    public void refused(EndpointSlots endpoint, long nowNanos) {
        if (!strategy.isLikelyAccepted(endpoint)) {
            pace.refused(nowNanos);
        }
    }

    FreeSlotIndex all() {
        return all;
    }

    FreeSlotIndex likelyAccepted() {
        return likelyAccepted;
    }
}
