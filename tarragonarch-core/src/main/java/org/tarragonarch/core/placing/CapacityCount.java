package org.tarragonarch.core.placing;

import org.tarragonarch.core.share.TaskSlots;
import org.tarragonarch.model.task.Resources;

/**
 * The capacity of the usable endpoints for tasks of one job's size; a slot is the capacity for one such task.
 *
 * @param taskSlots the number of slots
 * @param weightedTaskSlots the sum over the slots of their endpoint's speed: the work done per unit of time
 * @param freeTaskSlots the number of free slots
 * @param initializingTaskSlots the number of slots on endpoints that are being opened; included in {@code slots} and
 *     {@code weightedSlots}, not in {@code freeSlots}
 * @param milliCores the processor time of the endpoints, in thousandths of a core
 */
record CapacityCount(
        long taskSlots, double weightedTaskSlots, long freeTaskSlots, long initializingTaskSlots, long milliCores) {
    static CapacityCount of(Iterable<HeldEndpoint> endpoints, PlacedJob job, long now) {
        long perTask = Math.max(1, job.taskResources().milliCores());
        long slots = 0;
        double weightedSlots = 0;
        long freeSlots = 0;
        long initializingSlots = 0;
        long milliCores = 0;
        for (HeldEndpoint endpoint : endpoints) {
            boolean usable = endpoint.accepts(Resources.NONE, now);
            if (!usable && !endpoint.isInitializing()
                    || !endpoint.entry().service().equals(job.queue().service())) {
                continue;
            }
            long capacity = endpoint.entry().capacity().milliCores();
            long slotsOfEndpoint = capacity / perTask;
            milliCores += capacity;
            slots += slotsOfEndpoint;
            weightedSlots += slotsOfEndpoint * endpoint.speed().classSpeed();
            initializingSlots += usable ? 0 : slotsOfEndpoint;
            freeSlots += usable && job.taskResources().fitsInto(endpoint.freeCapacity())
                    ? endpoint.freeCapacity().milliCores() / perTask
                    : 0;
        }
        return new CapacityCount(slots, weightedSlots, freeSlots, initializingSlots, milliCores);
    }

    /** Returns the mean speed of the slots, or 1 if there are none. */
    double meanSpeed() {
        return taskSlots == 0 ? 1 : weightedTaskSlots / taskSlots;
    }

    /** Returns the slots in the form that admission by shares uses. */
    TaskSlots toTaskSlots() {
        return new TaskSlots(milliCores, taskSlots, freeTaskSlots);
    }
}
