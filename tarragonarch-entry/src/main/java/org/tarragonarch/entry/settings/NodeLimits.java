package org.tarragonarch.entry.settings;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import org.tarragonarch.entry.endpoint.EndpointLimits;
import org.tarragonarch.entry.http.HttpLimits;

/**
 * Resource limits of a node.
 *
 * @param http the limits of the caller port
 * @param endpoints the limits of the endpoint client
 * @param maxBodyBytes the maximum total size of stored bodies in bytes; further submissions are refused
 * @param platformTimeout the timeout of a platform call
 */
public record NodeLimits(HttpLimits http, EndpointLimits endpoints, long maxBodyBytes, Duration platformTimeout) {
    /** Defaults for a heap of 160 MB, of which bodies may use a third. */
    public static final NodeLimits DEFAULT =
            new NodeLimits(HttpLimits.DEFAULT, EndpointLimits.DEFAULT, 48L << 20, Duration.ofSeconds(2));

    /** Creates limits; numbers and durations must be positive. */
    public NodeLimits {
        checkNotNull(http, "http");
        checkNotNull(endpoints, "endpoints");
        checkArgument(maxBodyBytes > 0, "max-stored-bytes %s is not positive", maxBodyBytes);
        checkArgument(!platformTimeout.isNegative() && !platformTimeout.isZero(), "platform-timeout is not positive");
    }
}
