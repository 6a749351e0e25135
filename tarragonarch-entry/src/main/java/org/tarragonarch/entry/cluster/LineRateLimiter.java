package org.tarragonarch.entry.cluster;

import java.util.Arrays;
import org.tarragonarch.model.log.NodeEvent;

/**
 * Bounds how many lines of each kind of event are written in a second.
 *
 * <p>Guards against a storm of one kind of line, a thousand refusals a second in an overload, that takes the processor
 * time its node needs to answer, and hides the few lines that tell of the cause. The first lines of a kind in a second
 * are always written; the next line of the kind that is written says how many were not.
 */
final class LineRateLimiter {
    /** Well above what a busy node writes of its most frequent kind. */
    private static final int LINES_PER_SECOND = 200;

    private static final long SECOND_MILLIS = 1_000;

    private final int[] written = new int[NodeEvent.values().length];
    private final long[] skipped = new long[NodeEvent.values().length];
    private long secondBeganMillis = Long.MIN_VALUE / 2;

    /** Returns whether a line of this kind may be written now, and counts it either way. */
    boolean tryAcquire(NodeEvent event, long nowMillis) {
        // The time of day may step back; that begins a new second too, or nothing would be written until it caught up.
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

    /** Returns how many lines of this kind were not allowed since this was last asked. */
    long takeSkipped(NodeEvent event) {
        long count = skipped[event.ordinal()];
        skipped[event.ordinal()] = 0;
        return count;
    }
}
