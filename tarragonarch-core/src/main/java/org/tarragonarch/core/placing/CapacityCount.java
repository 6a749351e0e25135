package org.tarragonarch.core.placing;

import org.tarragonarch.core.share.TaskSlots;
import org.tarragonarch.model.task.Resources;

/**
 * The capacity of the usable endpoints for tasks of one job's size; a task slot is the capacity for one such task.
 *
 * @param taskSlots the number of task slots
 * @param weightedTaskSlots the sum over the task slots of their endpoint's speed: the work done per unit of time
 * @param freeTaskSlots the number of free task slots
 * @param initializingTaskSlots the number of task slots on initializing endpoints; included in {@code taskSlots} and
 *     {@code weightedTaskSlots}, not in {@code freeTaskSlots}
 * @param milliCores the processor time of the endpoints, in thousandths of a core
 */
record CapacityCount(
        long taskSlots, double weightedTaskSlots, long freeTaskSlots, long initializingTaskSlots, long milliCores) {
    static CapacityCount of(Iterable<HeldEndpoint> endpoints, PlacedJob job, long now) {
        long perTask = Math.max(1, job.taskResources().milliCores());
        long taskSlots = 0;
        double weightedTaskSlots = 0;
        long freeTaskSlots = 0;
        long initializingTaskSlots = 0;
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
            taskSlots += slotsOfEndpoint;
            weightedTaskSlots += slotsOfEndpoint * endpoint.speed().classSpeed();
            initializingTaskSlots += usable ? 0 : slotsOfEndpoint;
            freeTaskSlots += usable && job.taskResources().fitsInto(endpoint.freeCapacity())
                    ? endpoint.freeCapacity().milliCores() / perTask
                    : 0;
        }
        return new CapacityCount(taskSlots, weightedTaskSlots, freeTaskSlots, initializingTaskSlots, milliCores);
    }

    /** Returns the mean speed of the task slots, or 1 if there are none. */
    double meanSpeed() {
        return taskSlots == 0 ? 1 : weightedTaskSlots / taskSlots;
    }

    /** Returns the task slots in the form that admission by shares uses. */
    TaskSlots toTaskSlots() {
        return new TaskSlots(milliCores, taskSlots, freeTaskSlots);
    }
}
