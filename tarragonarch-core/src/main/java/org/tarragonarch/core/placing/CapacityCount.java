package org.tarragonarch.core.placing;

import org.tarragonarch.core.share.PoolPlaces;
import org.tarragonarch.model.task.Resources;

/**
 * The room that the usable endpoints have for tasks of one job's size; a place is room for one task.
 *
 * @param places how many they hold
 * @param weightedPlaces the same, each place counted by its endpoint's speed: the work that gets done in one unit of
 *     time
 * @param freePlaces how many are free
 * @param initializingPlaces how many are on endpoints that are just being opened; contained in the others but the free
 * @param milliCores the processor time of the endpoints, in thousandths of a core
 */
record CapacityCount(long places, double weightedPlaces, long freePlaces, long initializingPlaces, long milliCores) {
    static CapacityCount of(Iterable<HeldEndpoint> endpoints, PlacedJob job, long now) {
        long places = 0;
        double weightedPlaces = 0;
        long freePlaces = 0;
        long initializingPlaces = 0;
        long milliCores = 0;
        for (HeldEndpoint endpoint : endpoints) {
            boolean usable = endpoint.takes(Resources.NONE, now);
            if (!usable && !endpoint.isInitializing()
                    || !endpoint.entry().service().equals(job.queue().service())) {
                continue;
            }
            long perTask = Math.max(1, job.need().milliCores());
            long capacity = endpoint.entry().capacity().milliCores();
            long whole = capacity / perTask;
            milliCores += capacity;
            places += whole;
            weightedPlaces += whole * endpoint.speed().classSpeed();
            initializingPlaces += usable ? 0 : whole;
            freePlaces += usable && job.need().fitsInto(endpoint.free())
                    ? endpoint.free().milliCores() / perTask
                    : 0;
        }
        return new CapacityCount(places, weightedPlaces, freePlaces, initializingPlaces, milliCores);
    }

    /** Returns the mean speed of the places; 1 without any. */
    double meanSpeed() {
        return places == 0 ? 1 : weightedPlaces / places;
    }

    /** Returns the same as the places of a pool. */
    PoolPlaces pool() {
        return new PoolPlaces(milliCores, places, freePlaces);
    }
}
