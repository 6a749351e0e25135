package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;

/**
 * Answers a {@link ConfigurationAsked}.
 *
 * <p>The receiver checks the digest against the text itself; this frame only carries both.
 *
 * @param version the version given, or the version asked for if there is none to give
 * @param digest the digest under which the version was accepted; empty if there is none to give
 * @param canonicalText the canonical text in UTF-8; empty if there is none to give
 */
public record ConfigurationGiven(
        ConfigurationVersion version, Optional<ContentDigest> digest, Optional<Payload> canonicalText)
        implements Frame {
    /** Checks the parts. */
    public ConfigurationGiven {
        checkNotNull(version, "version");
        checkArgument(digest.isPresent() == canonicalText.isPresent(), "a digest and a text come together or not");
    }

    /** Returns a configuration. */
    public static ConfigurationGiven of(ConfigurationVersion version, ContentDigest digest, Payload canonicalText) {
        return new ConfigurationGiven(version, Optional.of(digest), Optional.of(canonicalText));
    }

    /** Returns that there is no such version or newer one to give. */
    public static ConfigurationGiven unavailable(ConfigurationVersion asked) {
        return new ConfigurationGiven(asked, Optional.empty(), Optional.empty());
    }
}
