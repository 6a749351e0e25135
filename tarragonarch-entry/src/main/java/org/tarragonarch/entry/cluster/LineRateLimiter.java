package org.tarragonarch.entry.cluster;

import java.util.Arrays;
import org.tarragonarch.model.log.NodeEvent;

/**
 * Limits the number of log lines per second of each event.
 *
 * <p>Guards against a flood of one event, such as a thousand refusals a second in an overload, that takes the processor
 * time needed for answers and hides the few lines that show the cause. The first lines of an event in each second are
 * written; the next written line of the event carries the number of lines skipped.
 */
final class LineRateLimiter {
    /** Well above the rate of the most frequent event on a busy node. */
    private static final int LINES_PER_SECOND = 200;

    private static final long SECOND_MILLIS = 1_000;

    private final int[] written = new int[NodeEvent.values().length];
    private final long[] skipped = new long[NodeEvent.values().length];
    private long secondBeganMillis = Long.MIN_VALUE / 2;

    /** Returns whether a line of this event may be written now, and counts it as written or skipped. */
    boolean tryAcquire(NodeEvent event, long nowMillis) {
        // A clock that steps back starts a new second too; otherwise nothing is written until the clock catches up.
        if (nowMillis < secondBeganMillis || nowMillis - secondBeganMillis >= SECOND_MILLIS) {
            secondBeganMillis = nowMillis;
            Arrays.fill(written, 0);
        }
        if (written[event.ordinal()] >= LINES_PER_SECOND) {
            skipped[event.ordinal()]++;
            return false;
        }
        written[event.ordinal()]++;
        return true;
    }

    /** Returns the number of lines of this event skipped since the last call, and resets it. */
    long takeSkipped(NodeEvent event) {
        long count = skipped[event.ordinal()];
        skipped[event.ordinal()] = 0;
        return count;
    }
}
