package org.tarragonarch.model.id;

/**
 * The name of one entry node, as the platform lists its VM.
 *
 * @param value the name; see {@link Names} for what it may hold
 */
public record NodeId(String value) implements Comparable<NodeId> {
    /** Checks that the name is well formed. */
    public NodeId {
        Names.check("NodeId", value);
    }

    /**
     * Returns the {@code NodeId} of a name.
     *
     * @throws IllegalArgumentException if the name is malformed
     */
    public static NodeId of(String value) {
        return new NodeId(value);
    }

    @Override
    public int compareTo(NodeId other) {
        return value.compareTo(other.value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof NodeId that && value.equals(that.value);
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
