package org.tarragonarch.model.id;

/**
 * The name of a region, such as {@code lutruwita}: failure domains within one or two milliseconds of each other.
 *
 * @param value the name; see {@link Names} for what it may hold
 */
public record Region(String value) implements Comparable<Region> {
    /** Checks that the name is well formed. */
    public Region {
        Names.check("Region", value);
    }

    /**
     * Returns the {@code Region} of a name.
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
