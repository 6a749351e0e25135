package org.tarragonarch.model.id;

/**
 * The name of a service that operators have configured.
 *
 * @param value the name; see {@link Names} for what it may hold
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
    /** Checks that the name is well formed. */
    public ServiceName {
        Names.check("ServiceName", value);
    }

    /**
     * Returns the {@code ServiceName} of a name.
     *
     * @throws IllegalArgumentException if the name is malformed
     */
    public static ServiceName of(String value) {
        return new ServiceName(value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
