package org.tarragonarch.core.placing;

import org.tarragonarch.core.share.TaskSlots;
import org.tarragonarch.model.task.Resources;

/**
 * The capacity of the usable endpoints for tasks of one job's size; a place is room for one task.
 *
 * @param places the number of places
 * @param weightedPlaces the sum over the places of their endpoint's speed: the work done per unit of time
 * @param freePlaces the number of free places
 * @param initializingPlaces the number of places on endpoints that are being opened; included in {@code places} and
 *     {@code weightedPlaces}, not in {@code freePlaces}
 * @param milliCores the processor time of the endpoints, in thousandths of a core
 */
record CapacityCount(long places, double weightedPlaces, long freePlaces, long initializingPlaces, long milliCores) {
    static CapacityCount of(Iterable<HeldEndpoint> endpoints, PlacedJob job, long now) {
        long perTask = Math.max(1, job.taskResources().milliCores());
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
            long capacity = endpoint.entry().capacity().milliCores();
            long whole = capacity / perTask;
            milliCores += capacity;
            places += whole;
            weightedPlaces += whole * endpoint.speed().classSpeed();
            initializingPlaces += usable ? 0 : whole;
            freePlaces += usable && job.taskResources().fitsInto(endpoint.free())
                    ? endpoint.free().milliCores() / perTask
                    : 0;
        }
        return new CapacityCount(places, weightedPlaces, freePlaces, initializingPlaces, milliCores);
    }

    /** Returns the mean speed of the places; 1 without any. */
    double meanSpeed() {
        return places == 0 ? 1 : weightedPlaces / places;
    }

    /** Converts the count. */
    TaskSlots toPoolPlaces() {
        return new TaskSlots(milliCores, places, freePlaces);
    }
}
