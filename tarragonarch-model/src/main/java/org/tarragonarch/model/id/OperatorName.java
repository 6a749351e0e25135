package org.tarragonarch.model.id;

/**
 * The name of an operator who may change the configuration.
 *
 * @param value the name; see {@link Names} for what it may hold
 */
public record OperatorName(String value) implements Comparable<OperatorName> {
    /** Checks that the name is well formed. */
    public OperatorName {
        Names.check("OperatorName", value);
    }

    /**
     * Returns the {@code OperatorName} of a name.
     *
     * @throws IllegalArgumentException if the name is malformed
     */
    public static OperatorName of(String value) {
        return new OperatorName(value);
    }

    @Override
    public int compareTo(OperatorName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
