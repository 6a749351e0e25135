package org.tarragonarch.model.id;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Distinguishes one run of a node's process from every other run under the same name.
 *
 * @param value a number that is higher in each later run of the same node
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
