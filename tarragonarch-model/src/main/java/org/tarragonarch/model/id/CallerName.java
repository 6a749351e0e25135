package org.tarragonarch.model.id;

/**
 * The name of a caller that may use services.
 *
 * @param value the name; see {@link Names} for what it may hold
 */
public record CallerName(String value) implements Comparable<CallerName> {
    /** Checks that the name is well formed. */
    public CallerName {
        Names.check("CallerName", value);
    }

    /**
     * Returns the {@code CallerName} of a name.
     *
     * @throws IllegalArgumentException if the name is malformed
     */
    public static CallerName of(String value) {
        return new CallerName(value);
    }

    @Override
    public int compareTo(CallerName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
