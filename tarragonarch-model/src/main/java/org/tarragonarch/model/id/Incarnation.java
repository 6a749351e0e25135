package org.tarragonarch.model.id;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identifies one lifetime of a node's process among all those under the same node name.
 *
 * @param value a number that is higher for each later incarnation of the same node
 */
public record Incarnation(long value) implements Comparable<Incarnation> {
    /** Checks that the number is positive. */
    public Incarnation {
        checkArgument(value > 0, "incarnation %s is not positive", value);
    }

    /** Returns the incarnation with this number. */
    public static Incarnation of(long value) {
        return new Incarnation(value);
    }

    @Override
    public int compareTo(Incarnation other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
