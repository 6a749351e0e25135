package org.tarragonarch.model.id;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The version number of an accepted configuration; numbers increase without gaps.
 *
 * @param value the number; 0 if no configuration was accepted yet
 */
public record ConfigurationVersion(long value) implements Comparable<ConfigurationVersion> {
    /** The version before any configuration was accepted. */
    public static final ConfigurationVersion NONE = new ConfigurationVersion(0);

    /** Checks that the number is not negative. */
    public ConfigurationVersion {
        checkArgument(value >= 0, "version %s is negative", value);
    }

    /** Returns the version with this number. */
    public static ConfigurationVersion of(long value) {
        return new ConfigurationVersion(value);
    }

    /** Returns whether this version was accepted after the other. */
    public boolean isNewerThan(ConfigurationVersion other) {
        return value > other.value;
    }

    /** Returns the next version. */
    public ConfigurationVersion next() {
        return new ConfigurationVersion(value + 1);
    }

    @Override
    public int compareTo(ConfigurationVersion other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
