package org.tarragonarch.entry.http;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Resource limits for the clients of one HTTP port.
 *
 * @param maxRequestBytes the maximum size of a request body in bytes
 * @param maxHeaderBytes the maximum total size of the headers of a request in bytes
 * @param maxConnections the maximum number of open connections
 * @param idleTimeout the maximum time that a connection may be open without a request
 * @param receiveTimeout the maximum time between the first and the last byte of a request
 * @param sendTimeout the maximum time that a write may wait for the client to read
 */
public record HttpLimits(
        int maxRequestBytes,
        int maxHeaderBytes,
        int maxConnections,
        Duration idleTimeout,
        Duration receiveTimeout,
        Duration sendTimeout) {
    /** Defaults for jobs of 110 tasks with small bodies, behind a load balancer with persistent connections. */
    public static final HttpLimits DEFAULT = new HttpLimits(
            16 << 20, 16 << 10, 2_000, Duration.ofSeconds(60), Duration.ofSeconds(10), Duration.ofSeconds(10));

    /** Creates limits; each must be positive. */
    public HttpLimits {
        checkArgument(maxRequestBytes > 0, "max-request-bytes %s is not positive", maxRequestBytes);
        checkArgument(maxHeaderBytes > 0, "max-header-bytes %s is not positive", maxHeaderBytes);
        checkArgument(maxConnections > 0, "max-connections %s is not positive", maxConnections);
        checkPositive("idle-timeout", idleTimeout);
        checkPositive("receive-timeout", receiveTimeout);
        checkPositive("send-timeout", sendTimeout);
    }

    /** Returns these limits with another maximum number of connections. */
    public HttpLimits withMaxConnections(int connections) {
        return new HttpLimits(maxRequestBytes, maxHeaderBytes, connections, idleTimeout, receiveTimeout, sendTimeout);
    }

    private static void checkPositive(String name, Duration duration) {
        checkArgument(!duration.isNegative() && !duration.isZero(), "%s is not positive", name);
    }
}
