package org.tarragonarch.core.share;

/**
 * The endpoints of a service, as places for tasks of one size.
 *
 * @param capacityMilliCores their processor time, in thousandths of a core
 * @param places how many tasks of the size they hold
 * @param freePlaces how many of those are free
 */
public record PoolPlaces(long capacityMilliCores, long places, long freePlaces) {
    /**
     * Returns the processor time that one task of the size takes up, with its part of what is left over on endpoints
     * that hold no whole number of such tasks.
     */
    long milliCoresPerPlace() {
        return Math.max(1, capacityMilliCores / Math.max(1, places));
    }
}
