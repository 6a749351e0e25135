package org.tarragonarch.model.report;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identifies a status among the recent statuses of a node.
 *
 * @param value the number; consecutive statuses have consecutive numbers
 */
public record StatusNumber(int value) {
    /** The number that no status has. */
    public static final StatusNumber NONE = new StatusNumber(0);

    /** Checks that the number is not negative. */
    public StatusNumber {
        checkArgument(value >= 0, "status number %s is negative", value);
    }

    /** Returns the status number with this value. */
    public static StatusNumber of(int value) {
        return new StatusNumber(value);
    }

    /** Returns the status number with the low bits of a counter, which keeps it short in a frame. */
    public static StatusNumber ofLowBits(long counter) {
        return new StatusNumber((int) (counter & Integer.MAX_VALUE));
    }

    @Override
    public String toString() {
        return Integer.toString(value);
    }
}
