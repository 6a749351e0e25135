package org.tarragonarch.wire;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The times and bounds of the connections between nodes.
 *
 * @param connectTimeout how long an attempt to connect may take
 * @param idleTimeout how long the other end may say nothing, not even a hello, before a connection is closed
 * @param unusedTimeout how long an outgoing connection stays open without a frame to send
 * @param firstBackoff the wait after the first failed attempt; each further failure doubles it
 * @param maxBackoff the longest wait between attempts
 * @param maxQueuedFrames the most frames that wait for one connection
 * @param maxQueuedBytes the most bytes that wait for one connection
 * @param maxConnections the most incoming connections
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
    /** The settings that suit the sizes of the brief. */
    public static final PeerNetworkSettings DEFAULT = new PeerNetworkSettings(
            Duration.ofSeconds(1),
            Duration.ofSeconds(5),
            Duration.ofSeconds(60),
            Duration.ofMillis(100),
            Duration.ofSeconds(2),
            256,
            2 * FrameCodec.MAX_FRAME_BYTES,
            1_024);

    /** Checks that every time and bound is positive. */
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

    private static void checkPositive(String name, Duration duration) {
        checkArgument(duration.toMillis() > 0, "%s is below a millisecond", name);
    }
}
