package org.tarragonarch.core.placement;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.service.ServiceObjective;

/**
 * The endpoints of one service in one failure domain that may get a task now.
 *
 * <p>Not safe for use by several threads.
 */
public final class SlotPool {
    private final PlacementStrategy strategy;
    private final FreeSlotIndex all = new FreeSlotIndex();
    private final FreeSlotIndex likelyAccepted = new FreeSlotIndex();
    private final SendPace pace = new SendPace();
    private ServiceObjective lastFavour = ServiceObjective.FEW_MESSAGES;

    private SlotPool(PlacementStrategy strategy) {
        this.strategy = checkNotNull(strategy, "strategy");
    }

    /** Returns an empty pool. */
    public static SlotPool create(PlacementStrategy strategy) {
        return new SlotPool(strategy);
    }

    /** Adds an endpoint, or updates one whose load changed; one that this node knows to be full is left out. */
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

    /** Takes an endpoint out, if it is in. */
    public void remove(EndpointSlots endpoint) {
        all.remove(endpoint);
        likelyAccepted.remove(endpoint);
    }

    /**
     * Returns the endpoint that the strategy prefers, or nothing if it would rather wait.
     *
     * @param slotsLeft how many slots must seem free beyond one whose home is not this node
     */
    public Optional<EndpointSlots> choose(
            ServiceObjective favour, int slotsLeft, Set<EndpointId> avoid, Random random, long nowNanos) {
        lastFavour = favour;
        Optional<EndpointSlots> chosen = strategy.choose(this, slotsLeft, allowsRiskySend(nowNanos), avoid, random);
        if (chosen.isPresent() && !strategy.isLikelyAccepted(chosen.get())) {
            pace.sent(nowNanos);
        }
        return chosen;
    }

    /** Returns whether a send may be made now that may well be refused. */
    public boolean allowsRiskySend(long nowNanos) {
        return nowNanos >= pace.nextNanos();
    }

    /** Returns from when on such a send may be made. */
    public long nextRiskySendNanos() {
        return pace.nextNanos();
    }

    /** Records that an endpoint started a task. */
    public void started() {
        pace.started(lastFavour);
    }

    /** Records that an endpoint, whose slot was given back already, refused a task as full. */
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
