package org.tarragonarch.wire;

/** A frame ready to leave, and what it was made of. */
record EncodedFrame(Frame frame, byte[] bytes) {
    static EncodedFrame of(Frame frame) {
        return new EncodedFrame(frame, FrameCodec.encode(frame));
    }

    /** Returns whether the frame may be lost without harm, because a later one says the same anew. */
    boolean isDroppable() {
        return frame instanceof ReportFrame || frame instanceof StatusFrame;
    }
}
