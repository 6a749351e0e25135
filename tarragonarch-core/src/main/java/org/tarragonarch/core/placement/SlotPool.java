package org.tarragonarch.core.placement;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.tarragonarch.model.id.EndpointId;
import org.tarragonarch.model.service.Favour;

/**
 * The endpoints of one service in one failure domain that may get a task now.
 *
 * <p>Not safe for use by several threads.
 */
public final class SlotPool {
    private final PlacementStrategy strategy;
    private final FreeSlotIndex all = new FreeSlotIndex();
    private final FreeSlotIndex home = new FreeSlotIndex();
    private final FreeSlotIndex vacated = new FreeSlotIndex();

    private SlotPool(PlacementStrategy strategy) {
        this.strategy = checkNotNull(strategy, "strategy");
    }

    /** Returns an empty pool. */
    public static SlotPool create(PlacementStrategy strategy) {
        return new SlotPool(strategy);
    }

    /** Adds an endpoint, or takes in that its load changed; one that this node fills by itself is left out. */
    public void put(EndpointSlots endpoint) {
        if (!endpoint.ownFree()) {
            remove(endpoint);
            return;
        }
        int rank = strategy.rank(endpoint);
        all.put(endpoint, rank);
        putIf(endpoint.homeFree(), home, endpoint, rank);
        putIf(endpoint.hasVacated(), vacated, endpoint, rank);
    }

    /** Takes an endpoint out, if it is in. */
    public void remove(EndpointSlots endpoint) {
        all.remove(endpoint);
        home.remove(endpoint);
        vacated.remove(endpoint);
    }

    /**
     * Returns the endpoint that the strategy prefers, or nothing if it would rather wait.
     *
     * @param mayRisk whether a send is worth making that may well be refused
     */
    public Optional<EndpointSlots> choose(Favour favour, boolean mayRisk, Set<EndpointId> avoid, Random random) {
        return strategy.choose(this, favour, mayRisk, avoid, random);
    }

    FreeSlotIndex all() {
        return all;
    }

    FreeSlotIndex home() {
        return home;
    }

    FreeSlotIndex vacated() {
        return vacated;
    }

    private static void putIf(boolean belongs, FreeSlotIndex index, EndpointSlots endpoint, int rank) {
        if (belongs) {
            index.put(endpoint, rank);
        } else {
            index.remove(endpoint);
        }
    }
}
