package org.tarragonarch.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.tarragonarch.model.id.EndpointId;

/**
 * An index of endpoints by rank, which finds one of the highest rank without a scan.
 *
 * <p>A change or choice takes time logarithmic in the number of distinct ranks, which is at most the number of slots of
 * an endpoint, whatever the number of endpoints.
 */
final class FreeSlotIndex {
    private final TreeMap<Integer, List<EndpointSlots>> buckets = new TreeMap<>(Comparator.reverseOrder());
    private final Map<EndpointSlots, Place> places = new HashMap<>();

    /** Adds an endpoint, or changes its rank. */
    void put(EndpointSlots endpoint, int rank) {
        Place place = places.get(endpoint);
        if (place != null && place.rank == rank) {
            return;
        }
        remove(endpoint);
        List<EndpointSlots> bucket = buckets.computeIfAbsent(rank, key -> new ArrayList<>());
        places.put(endpoint, new Place(rank, bucket.size()));
        bucket.add(endpoint);
    }

    /** Removes an endpoint, if present. */
    void remove(EndpointSlots endpoint) {
        Place place = places.remove(endpoint);
        if (place == null) {
            return;
        }
        List<EndpointSlots> bucket = buckets.get(place.rank);
        EndpointSlots last = bucket.remove(bucket.size() - 1);
        if (last != endpoint) {
            bucket.set(place.position, last);
            places.get(last).position = place.position;
        }
        if (bucket.isEmpty()) {
            buckets.remove(place.rank);
        }
    }

    /**
     * Returns a random endpoint of the highest rank that has an endpoint outside {@code avoid}; empty if there is none
     * of rank {@code atLeast} or higher.
     */
    Optional<EndpointSlots> highest(int atLeast, Set<EndpointId> avoid, Random random) {
        for (Map.Entry<Integer, List<EndpointSlots>> bucket : buckets.entrySet()) {
            if (bucket.getKey() < atLeast) {
                return Optional.empty();
            }
            Optional<EndpointSlots> found = anyOf(bucket.getValue(), avoid, random);
            if (found.isPresent()) {
                return found;
            }
        }
        return Optional.empty();
    }

    private static Optional<EndpointSlots> anyOf(List<EndpointSlots> bucket, Set<EndpointId> avoid, Random random) {
        int start = random.nextInt(bucket.size());
        int tries = Math.min(bucket.size(), avoid.size() + 1);
        for (int i = 0; i < tries; i++) {
            EndpointSlots endpoint = bucket.get((start + i) % bucket.size());
            if (!avoid.contains(endpoint.endpoint())) {
                return Optional.of(endpoint);
            }
        }
        return Optional.empty();
    }

    private static final class Place {
        private final int rank;
        private int position;

        Place(int rank, int position) {
            this.rank = rank;
            this.position = position;
        }
    }
}
