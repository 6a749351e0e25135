package org.tarragonarch.entry.http;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The bounds that one HTTP port sets to what its clients may take up.
 *
 * @param maxRequestBytes the largest body of a request
 * @param maxHeaderBytes the largest sum of a request's headers
 * @param maxConnections the most connections at once
 * @param idleTimeout how long a connection may stay open without a request
 * @param receiveTimeout how long a request may take from its first byte to its last
 * @param sendTimeout how long an answer may wait for the client to read on
 */
public record HttpLimits(
        int maxRequestBytes,
        int maxHeaderBytes,
        int maxConnections,
        Duration idleTimeout,
        Duration receiveTimeout,
        Duration sendTimeout) {
    /** Suits jobs of 110 tasks with small bodies and a balancer that keeps connections. */
    public static final HttpLimits DEFAULT = new HttpLimits(
            16 << 20, 16 << 10, 2_000, Duration.ofSeconds(60), Duration.ofSeconds(10), Duration.ofSeconds(10));

    /** Checks that every bound is positive. */
    public HttpLimits {
        checkArgument(maxRequestBytes > 0, "max-request-bytes %s is not positive", maxRequestBytes);
        checkArgument(maxHeaderBytes > 0, "max-header-bytes %s is not positive", maxHeaderBytes);
        checkArgument(maxConnections > 0, "max-connections %s is not positive", maxConnections);
        checkPositive("idle-timeout", idleTimeout);
        checkPositive("receive-timeout", receiveTimeout);
        checkPositive("send-timeout", sendTimeout);
    }

    /** Returns these limits with another number of connections. */
    public HttpLimits withMaxConnections(int connections) {
        return new HttpLimits(maxRequestBytes, maxHeaderBytes, connections, idleTimeout, receiveTimeout, sendTimeout);
    }

    private static void checkPositive(String name, Duration duration) {
        checkArgument(!duration.isNegative() && !duration.isZero(), "%s is not positive", name);
    }
}
