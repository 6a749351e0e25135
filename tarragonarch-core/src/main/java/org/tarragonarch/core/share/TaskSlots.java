package org.tarragonarch.core.share;

/**
 * The capacity of the endpoints of a service in a pool, counted in slots for tasks of one size.
 *
 * @param capacityMilliCores the processor time of the endpoints, in thousandths of a core
 * @param total the number of tasks of that size that they can run at a time
 * @param free the number of slots that are free now
 */
public record TaskSlots(long capacityMilliCores, long total, long free) {
    /**
     * Returns the processor time that one task occupies, in thousandths of a core: its own and an equal fraction of
     * what cannot be used on endpoints whose capacity is not a multiple of its size.
     */
    long milliCoresPerSlot() {
        return Math.max(1, capacityMilliCores / Math.max(1, total));
    }
}
