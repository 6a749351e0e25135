package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;
import org.tarragonarch.model.id.ConfigurationVersion;
import org.tarragonarch.model.id.ContentDigest;

/**
 * The response to a {@link ConfigurationAsked}.
 *
 * <p>This frame does not verify the digest; the receiver does.
 *
 * @param version the version of the configuration, or the requested version if none is available
 * @param digest the digest under which the version was accepted; empty if none is available
 * @param canonicalText the canonical text in UTF-8; empty if none is available
 */
public record ConfigurationGiven(
        ConfigurationVersion version, Optional<ContentDigest> digest, Optional<Payload> canonicalText)
        implements Frame {
    /** Checks that the digest and the text are both present or both absent. */
    public ConfigurationGiven {
        checkNotNull(version, "version");
        checkArgument(digest.isPresent() == canonicalText.isPresent(), "only one of digest and text is present");
    }

    /** Returns a response with a configuration. */
    public static ConfigurationGiven of(ConfigurationVersion version, ContentDigest digest, Payload canonicalText) {
        return new ConfigurationGiven(version, Optional.of(digest), Optional.of(canonicalText));
    }

    /** Returns a response that states that neither the requested version nor a newer one is available. */
    public static ConfigurationGiven unavailable(ConfigurationVersion asked) {
        return new ConfigurationGiven(asked, Optional.empty(), Optional.empty());
    }
}
