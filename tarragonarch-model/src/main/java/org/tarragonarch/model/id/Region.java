package org.tarragonarch.model.id;

/**
 * The name of a region: failure domains that are a millisecond or two from each other, such as {@code lutruwita}.
 *
 * @param value the name; see {@link Names} for what it may hold
 */
public record Region(String value) implements Comparable<Region> {
    /** Checks the name. */
    public Region {
        Names.check("Region", value);
    }

    /**
     * Returns the value type of a name.
     *
     * @throws IllegalArgumentException if the name is malformed
     */
    public static Region of(String value) {
        return new Region(value);
    }

    @Override
    public int compareTo(Region other) {
        return value.compareTo(other.value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Region that && value.equals(that.value);
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
