package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The timeouts and bounds of the connections between nodes.
 *
 * @param connectTimeout the maximum duration of an attempt to connect
 * @param idleTimeout the time without any received frame, hellos included, after which a connection is closed
 * @param unusedTimeout the time without a frame to send after which an outgoing connection is closed
 * @param firstBackoff the delay after the first failed attempt; doubled after each further failure
 * @param maxBackoff the maximum delay between attempts
 * @param maxQueuedFrames the maximum number of frames queued for one connection
 * @param maxQueuedBytes the maximum number of bytes queued for one connection
 * @param maxConnections the maximum number of incoming connections
 */
public record PeerNetworkSettings(
        Duration connectTimeout,
        Duration idleTimeout,
        Duration unusedTimeout,
        Duration firstBackoff,
        Duration maxBackoff,
        int maxQueuedFrames,
        int maxQueuedBytes,
        int maxConnections) {
    /** The default settings, suited to clusters of the sizes that the product supports. */
    public static final PeerNetworkSettings DEFAULT = new PeerNetworkSettings(
            Duration.ofSeconds(1),
            Duration.ofSeconds(5),
            Duration.ofSeconds(60),
            Duration.ofMillis(100),
            Duration.ofSeconds(2),
            256,
            2 * FrameCodec.MAX_FRAME_BYTES,
            1_024);

    /** Checks that every duration and bound is positive. */
    public PeerNetworkSettings {
        checkPositive("connectTimeout", connectTimeout);
        checkPositive("idleTimeout", idleTimeout);
        checkPositive("unusedTimeout", unusedTimeout);
        checkPositive("firstBackoff", firstBackoff);
        checkArgument(maxBackoff.compareTo(firstBackoff) >= 0, "maxBackoff is below firstBackoff");
        checkArgument(maxQueuedFrames > 0, "maxQueuedFrames %s is not positive", maxQueuedFrames);
        checkArgument(maxQueuedBytes > 0, "maxQueuedBytes %s is not positive", maxQueuedBytes);
        checkArgument(maxConnections > 0, "maxConnections %s is not positive", maxConnections);
    }

    /** Returns the time in which a peer must respond to a new connection by its hello. */
    Duration helloTimeout() {
        return connectTimeout.multipliedBy(2);
    }

    private static void checkPositive(String name, Duration duration) {
        checkArgument(duration.toMillis() > 0, "%s is below a millisecond", name);
    }
}
