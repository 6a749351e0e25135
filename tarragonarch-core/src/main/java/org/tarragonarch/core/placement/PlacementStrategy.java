package org.tarragonarch.core.placement;

import com.google.common.base.Ascii;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.tarragonarch.model.id.EndpointId;

/** The strategies for the choice among the endpoints of a pool; {@code docs/design/placement.md} has figures. */
public enum PlacementStrategy {
    /** Any endpoint that this node has not filled itself. */
    RANDOM {
        @Override
        int rank(EndpointSlots endpoint) {
            return 0;
        }

        @Override
        Optional<EndpointSlots> choose(
                SlotPool pool, int slotsLeft, boolean mayRisk, Set<EndpointId> avoid, Random random) {
            return candidates(pool, mayRisk).highest(Integer.MIN_VALUE, avoid, random);
        }
    },
    /** The one of two random endpoints that has fewer tasks of this node. */
    TWO_CHOICES {
        @Override
        int rank(EndpointSlots endpoint) {
            return 0;
        }

        @Override
        Optional<EndpointSlots> choose(
                SlotPool pool, int slotsLeft, boolean mayRisk, Set<EndpointId> avoid, Random random) {
            Optional<EndpointSlots> first = candidates(pool, mayRisk).highest(Integer.MIN_VALUE, avoid, random);
            Optional<EndpointSlots> second = candidates(pool, mayRisk).highest(Integer.MIN_VALUE, avoid, random);
            return first.map(one -> one.ownInFlight() <= second.get().ownInFlight() ? one : second.get());
        }
    },
    /** The endpoint with the most free slots by this node's count and its peers' last reports. */
    LEAST_LOADED {
        @Override
        int rank(EndpointSlots endpoint) {
            return endpoint.estimatedFreeSlots();
        }

        @Override
        Optional<EndpointSlots> choose(
                SlotPool pool, int slotsLeft, boolean mayRisk, Set<EndpointId> avoid, Random random) {
            return candidates(pool, mayRisk).highest(1, avoid, random);
        }
    },
    /**
     * A slot whose home is this node; without one, an endpoint that appears to have {@code slotsLeft} more free slots
     * than the one needed.
     *
     * <p>Peers use their own slots as long as some are free, so a task sent to an own slot is seldom refused, however
     * old the peers' reports are.
     */
    SLOT_SHARES {
        @Override
        int rank(EndpointSlots endpoint) {
            return endpoint.estimatedFreeSlots();
        }

        @Override
        Optional<EndpointSlots> choose(
                SlotPool pool, int slotsLeft, boolean mayRisk, Set<EndpointId> avoid, Random random) {
            Optional<EndpointSlots> own = pool.likelyAccepted().highest(1, avoid, random);
            if (own.isPresent() || !mayRisk) {
                return own;
            }
            return pool.all().highest(1 + slotsLeft, avoid, random);
        }

        @Override
        boolean isLikelyAccepted(EndpointSlots endpoint) {
            return endpoint.hasFreeHomeSlot();
        }
    };

    /** Returns the value that denotes this strategy in settings. */
    public String word() {
        return Ascii.toLowerCase(name()).replace('_', '-');
    }

    /** Returns the rank of an endpoint in the pool's index; higher ranks are preferred. */
    abstract int rank(EndpointSlots endpoint);

    /**
     * Returns whether an endpoint will probably accept a task; by default, whether this node has released a slot there.
     */
    boolean isLikelyAccepted(EndpointSlots endpoint) {
        return endpoint.hasVacatedSlot();
    }

    abstract Optional<EndpointSlots> choose(
            SlotPool pool, int slotsLeft, boolean mayRisk, Set<EndpointId> avoid, Random random);

    /** Returns the endpoints to choose among; unless {@code mayRisk}, only those that will probably accept a task. */
    private static FreeSlotIndex candidates(SlotPool pool, boolean mayRisk) {
        return mayRisk ? pool.all() : pool.likelyAccepted();
    }
}
