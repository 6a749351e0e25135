package org.tarragonarch.entry.settings;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import org.tarragonarch.entry.endpoint.EndpointLimits;
import org.tarragonarch.entry.http.HttpLimits;

/**
 * What a node's clients and bodies may take up.
 *
 * @param http the bounds of the caller port
 * @param endpoints the bounds of the client that calls endpoints
 * @param maxBodyBytes the sum of bodies up to which submissions are taken
 * @param platformTimeout the longest that a call to the platform may take
 */
public record NodeLimits(HttpLimits http, EndpointLimits endpoints, long maxBodyBytes, Duration platformTimeout) {
    /** Suits a node with a heap of 160 MB, of which bodies may fill a third. */
    public static final NodeLimits DEFAULT =
            new NodeLimits(HttpLimits.DEFAULT, EndpointLimits.DEFAULT, 48L << 20, Duration.ofSeconds(2));

    /** Checks the parts. */
    public NodeLimits {
        checkNotNull(http, "http");
        checkNotNull(endpoints, "endpoints");
        checkArgument(maxBodyBytes > 0, "max-stored-bytes %s is not positive", maxBodyBytes);
        checkArgument(!platformTimeout.isNegative() && !platformTimeout.isZero(), "platform-timeout is not positive");
    }
}
