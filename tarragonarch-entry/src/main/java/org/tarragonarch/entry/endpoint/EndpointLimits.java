package org.tarragonarch.entry.endpoint;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The bounds of what the endpoint client takes up.
 *
 * @param maxExchanges the most exchanges under way; each has a thread. More than that wait unsent
 * @param maxIdleConnections the most connections kept open without an exchange
 * @param maxResultBytes the largest result of a task
 */
public record EndpointLimits(int maxExchanges, int maxIdleConnections, long maxResultBytes) {
    /** Suits 30 endpoints of 8 slots, whose about 60 connections are shared with the other nodes. */
    public static final EndpointLimits DEFAULT = new EndpointLimits(1_024, 512, 16 << 20);

    /** Checks that every bound is positive. */
    public EndpointLimits {
        checkArgument(maxExchanges > 0, "maxExchanges %s is not positive", maxExchanges);
        checkArgument(maxIdleConnections > 0, "maxIdleConnections %s is not positive", maxIdleConnections);
        checkArgument(maxResultBytes > 0, "maxResultBytes %s is not positive", maxResultBytes);
    }
}
