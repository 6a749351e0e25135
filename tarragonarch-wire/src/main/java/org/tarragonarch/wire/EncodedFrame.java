package org.tarragonarch.wire;

/** A frame together with its encoded bytes. */
record EncodedFrame(Frame frame, byte[] bytes) {
    static EncodedFrame of(Frame frame) {
        return new EncodedFrame(frame, FrameCodec.encode(frame));
    }

    /** Returns whether the frame may be dropped silently, because a later frame of the same type supersedes it. */
    boolean isDroppable() {
        return frame instanceof ReportFrame || frame instanceof StatusFrame;
    }
}
