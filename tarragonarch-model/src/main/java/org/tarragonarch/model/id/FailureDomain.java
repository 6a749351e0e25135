package org.tarragonarch.model.id;

/**
 * The name of a failure domain, such as {@code hobart}.
 *
 * @param value the name; see {@link Names} for what it may hold
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
    /** Checks that the name is well formed. */
    public FailureDomain {
        Names.check("FailureDomain", value);
    }

    /**
     * Returns the {@code FailureDomain} of a name.
     *
     * @throws IllegalArgumentException if the name is malformed
     */
    public static FailureDomain of(String value) {
        return new FailureDomain(value);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof FailureDomain that && value.equals(that.value);
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
