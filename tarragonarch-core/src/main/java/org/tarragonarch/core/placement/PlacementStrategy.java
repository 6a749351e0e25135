package org.tarragonarch.core.placement;

import com.google.common.base.Ascii;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.tarragonarch.model.id.EndpointId;

/** The ways to choose among the endpoints of a pool. {@code docs/design/placement.md} has their figures. */
public enum PlacementStrategy {
    /** Any endpoint that this node does not fill by itself. */
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
    /** Of two random endpoints the one with fewer tasks of this node. */
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
    /** The endpoint with most slots free by this node's count and its peers' last reports. */
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
     * A slot whose home is this node; failing that, one that seems idle, with as many left over as asked.
     *
     * <p>Peers keep to their own slots while those last, so a choice among the own ones is seldom refused however old
     * the peers' reports are.
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

    /** Returns the word that stands for this in settings. */
    public String word() {
        return Ascii.toLowerCase(name()).replace('_', '-');
    }

    /** Returns where an endpoint stands in the pool's index; a higher one is preferred. */
    abstract int rank(EndpointSlots endpoint);

    /** Returns whether a task sent to an endpoint will hardly be refused: here, if this node left a slot there. */
    boolean isLikelyAccepted(EndpointSlots endpoint) {
        return endpoint.hasVacatedSlot();
    }

    abstract Optional<EndpointSlots> choose(
            SlotPool pool, int slotsLeft, boolean mayRisk, Set<EndpointId> avoid, Random random);

    /** Returns the endpoints to choose among: without risk only the sure ones. */
    private static FreeSlotIndex candidates(SlotPool pool, boolean mayRisk) {
        return mayRisk ? pool.all() : pool.likelyAccepted();
    }
}
