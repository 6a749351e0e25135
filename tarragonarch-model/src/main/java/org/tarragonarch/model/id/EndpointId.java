package org.tarragonarch.model.id;

/**
 * The name of one endpoint, as the platform lists its VM.
 *
 * @param value the name; see {@link Names} for what it may hold
 */
public record EndpointId(String value) implements Comparable<EndpointId> {
    /** Checks that the name is well formed. */
    public EndpointId {
        Names.check("EndpointId", value);
    }

    /**
     * Returns the {@code EndpointId} of a name.
     *
     * @throws IllegalArgumentException if the name is malformed
     */
    public static EndpointId of(String value) {
        return new EndpointId(value);
    }

    @Override
    public int compareTo(EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof EndpointId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }
}
