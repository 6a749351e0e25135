package org.tarragonarch.wire;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Optional;

/**
 * A queue of the frames to be sent on one connection, bounded in number and bytes.
 *
 * <p>A frozen peer reads nothing while its connection stays open, so an unbounded queue would exhaust memory. When the
 * queue is full, the oldest reports and statuses are dropped, since newer ones supersede them; the added frame is
 * refused only if that does not free enough space.
 */
final class FrameQueue {
    private final int maxFrames;
    private final int maxBytes;
    private final ArrayDeque<EncodedFrame> waiting = new ArrayDeque<>();
    private long bytes;

    FrameQueue(int maxFrames, int maxBytes) {
        this.maxFrames = maxFrames;
        this.maxBytes = maxBytes;
    }

    /** Adds a frame and returns the frames dropped because of the bounds; the added frame may be among them. */
    ImmutableList<EncodedFrame> offer(EncodedFrame frame) {
        ImmutableList.Builder<EncodedFrame> dropped = ImmutableList.builder();
        Iterator<EncodedFrame> oldest = waiting.iterator();
        while (!fits(frame) && oldest.hasNext()) {
            EncodedFrame candidate = oldest.next();
            if (candidate.isDroppable()) {
                oldest.remove();
                bytes -= candidate.bytes().length;
                dropped.add(candidate);
            }
        }
        if (fits(frame)) {
            waiting.add(frame);
            bytes += frame.bytes().length;
        } else {
            dropped.add(frame);
        }
        return dropped.build();
    }

    /** Removes and returns the oldest frame. */
    Optional<EncodedFrame> poll() {
        Optional<EncodedFrame> first = Optional.ofNullable(waiting.poll());
        first.ifPresent(frame -> bytes -= frame.bytes().length);
        return first;
    }

    /** Removes and returns all frames, oldest first. */
    ImmutableList<EncodedFrame> drain() {
        ImmutableList<EncodedFrame> all = ImmutableList.copyOf(waiting);
        waiting.clear();
        bytes = 0;
        return all;
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    private boolean fits(EncodedFrame frame) {
        return waiting.size() < maxFrames && bytes + frame.bytes().length <= maxBytes;
    }
}
