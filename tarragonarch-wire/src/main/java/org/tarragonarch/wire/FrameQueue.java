package org.tarragonarch.wire;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Optional;

/**
 * Frames that wait for one connection, bounded in number and bytes.
 *
 * <p>A frozen peer takes nothing while its connection stays open, so what waits for it grows until memory is gone. The
 * oldest reports make room first, since a newer one replaces them; a question or an answer is refused only when nothing
 * but questions and answers waits.
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

    /** Adds a frame; returns the frames dropped for it, which may be the frame itself. */
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

    /** Takes the frame that waits longest. */
    Optional<EncodedFrame> poll() {
        Optional<EncodedFrame> first = Optional.ofNullable(waiting.poll());
        first.ifPresent(frame -> bytes -= frame.bytes().length);
        return first;
    }

    /** Takes every frame. */
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
