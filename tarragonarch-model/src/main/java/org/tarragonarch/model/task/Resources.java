package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * An amount of what tasks share on an endpoint.
 *
 * @param milliCores processor time, in thousandths of a core
 * @param memoryMb memory, in megabytes
 * @param accelerators whole accelerators
 */
public record Resources(long milliCores, long memoryMb, long accelerators) {
    /** Nothing at all. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Checks that no part is negative. */
    public Resources {
        checkArgument(milliCores >= 0, "milliCores %s is negative", milliCores);
        checkArgument(memoryMb >= 0, "memoryMb %s is negative", memoryMb);
        checkArgument(accelerators >= 0, "accelerators %s is negative", accelerators);
    }

    /** Returns whether this amount fits into the other in each part. */
    public boolean fitsInto(Resources room) {
        return milliCores <= room.milliCores && memoryMb <= room.memoryMb && accelerators <= room.accelerators;
    }

    /** Returns the sum. */
    public Resources plus(Resources other) {
        return new Resources(
                milliCores + other.milliCores, memoryMb + other.memoryMb, accelerators + other.accelerators);
    }

    /** Returns what is left after the other is taken away, and zero in each part that it exceeds. */
    public Resources minus(Resources other) {
        return new Resources(
                Math.max(0, milliCores - other.milliCores),
                Math.max(0, memoryMb - other.memoryMb),
                Math.max(0, accelerators - other.accelerators));
    }
}
