package org.tarragonarch.core.placing;

import org.tarragonarch.core.share.PoolPlaces;
import org.tarragonarch.model.task.Resources;

/**
 * The capacity of the usable endpoints for tasks of one job's size; a place is room for one task.
 *
 * @param slots the number of places
 * @param weightedSlots the sum over the places of their endpoint's speed: the work done per unit of time
 * @param freeSlots the number of free places
 * @param initializingSlots the number of places on endpoints that are being opened; included in {@code places} and
 *     {@code weightedPlaces}, not in {@code freePlaces}
 * @param milliCores the processor time of the endpoints, in thousandths of a core
 */
record CapacityCount(long slots, double weightedSlots, long freeSlots, long initializingSlots, long milliCores) {
    static CapacityCount of(Iterable<HeldEndpoint> endpoints, PlacedJob job, long now) {
        long perTask = Math.max(1, job.need().milliCores());
        long places = 0;
        double weightedPlaces = 0;
        long freePlaces = 0;
        long initializingPlaces = 0;
        long milliCores = 0;
        for (HeldEndpoint endpoint : endpoints) {
            boolean usable = endpoint.accepts(Resources.NONE, now);
            if (!usable && !endpoint.isInitializing()
                    || !endpoint.entry().service().equals(job.queue().service())) {
                continue;
            }
            long capacity = endpoint.entry().capacity().milliCores();
            long whole = capacity / perTask;
            milliCores += capacity;
            places += whole;
            weightedPlaces += whole * endpoint.speed().classSpeed();
            initializingPlaces += usable ? 0 : whole;
            freePlaces += usable && job.need().fitsInto(endpoint.freeCapacity())
                    ? endpoint.freeCapacity().milliCores() / perTask
                    : 0;
        }
        return new CapacityCount(places, weightedPlaces, freePlaces, initializingPlaces, milliCores);
    }

    /** Returns the mean speed of the places; 1 without any. */
    double meanSpeed() {
        return slots == 0 ? 1 : weightedSlots / slots;
    }

    /** Converts the count. */
    PoolPlaces toPoolSlots() {
        return new PoolPlaces(milliCores, slots, freeSlots);
    }
}
