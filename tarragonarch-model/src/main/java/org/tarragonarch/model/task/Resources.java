package org.tarragonarch.model.task;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * An amount of the resources that tasks share on an endpoint.
 *
 * @param milliCores processor time, in thousandths of a core
 * @param memoryMb memory, in megabytes
 * @param accelerators whole accelerators
 */
public record Resources(long milliCores, long memoryMb, long accelerators) {
    /** The zero amount. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Checks that no component is negative. */
    public Resources {
        checkArgument(milliCores >= 0, "milliCores %s is negative", milliCores);
        checkArgument(memoryMb >= 0, "memoryMb %s is negative", memoryMb);
        checkArgument(accelerators >= 0, "accelerators %s is negative", accelerators);
    }

    /** Returns whether each component of this amount is at most that of the capacity. */
    public boolean fitsInto(Resources capacity) {
        return milliCores <= capacity.milliCores
                && memoryMb <= capacity.memoryMb
                && accelerators <= capacity.accelerators;
    }

    /** Returns the sum. */
    public Resources plus(Resources other) {
        return new Resources(
                milliCores + other.milliCores, memoryMb + other.memoryMb, accelerators + other.accelerators);
    }

    /** Returns the difference, with negative components replaced by zero. */
    public Resources minus(Resources other) {
        return new Resources(
                Math.max(0, milliCores - other.milliCores),
                Math.max(0, memoryMb - other.memoryMb),
                Math.max(0, accelerators - other.accelerators));
    }
}
