package org.tarragonarch.model.id;

/**
 * The name of a team, which has quotas and a weight.
 *
 * @param value the name; see {@link Names} for what it may hold
 */
public record TeamName(String value) implements Comparable<TeamName> {
    /** Checks that the name is well formed. */
    public TeamName {
        Names.check("TeamName", value);
    }

    /**
     * Returns the {@code TeamName} of a name.
     *
     * @throws IllegalArgumentException if the name is malformed
     */
    public static TeamName of(String value) {
        return new TeamName(value);
    }

    @Override
    public int compareTo(TeamName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
