package org.tarragonarch.model.report;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identifies a status among all statuses of a node.
 *
 * @param value a number that is higher for each later status of the node, also after a restart
 */
public record StatusNumber(long value) {
    /** The number that no status has. */
    public static final StatusNumber NONE = new StatusNumber(0);

    /** Checks that the number is not negative. */
    public StatusNumber {
        checkArgument(value >= 0, "status number %s is negative", value);
    }

    /** Returns the status number with this value. */
    public static StatusNumber of(long value) {
        return new StatusNumber(value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
