package org.tarragonarch.model.id;

/**
 * The name of a kind of request within a service.
 *
 * @param value the name; see {@link Names} for what it may hold
 */
public record KindName(String value) implements Comparable<KindName> {
    /** Checks that the name is well formed. */
    public KindName {
        Names.check("KindName", value);
    }

    /**
     * Returns the {@code KindName} of a name.
     *
     * @throws IllegalArgumentException if the name is malformed
     */
    public static KindName of(String value) {
        return new KindName(value);
    }

    @Override
    public int compareTo(KindName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
