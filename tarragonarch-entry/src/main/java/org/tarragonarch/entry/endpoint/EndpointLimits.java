package org.tarragonarch.entry.endpoint;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Resource limits of the endpoint client.
 *
 * @param maxExchanges the maximum number of open exchanges, each of which has a thread; further ones are queued
 * @param maxIdleConnections the maximum number of idle connections kept open
 * @param maxResultBytes the maximum size of a task result in bytes
 */
public record EndpointLimits(int maxExchanges, int maxIdleConnections, long maxResultBytes) {
    /** Defaults for 30 endpoints of 8 slots, whose about 60 connections are shared with the other nodes. */
    public static final EndpointLimits DEFAULT = new EndpointLimits(1_024, 512, 16 << 20);

    /** Creates limits; each must be positive. */
    public EndpointLimits {
        checkArgument(maxExchanges > 0, "maxExchanges %s is not positive", maxExchanges);
        checkArgument(maxIdleConnections > 0, "maxIdleConnections %s is not positive", maxIdleConnections);
        checkArgument(maxResultBytes > 0, "maxResultBytes %s is not positive", maxResultBytes);
    }
}
