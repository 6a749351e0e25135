package org.tarragonarch.wire;

/** Learns what becomes of a connection. */
interface ConnectionOwner {
    /** Both hellos were checked; frames may be sent. */
    void opened(PeerConnection connection);

    /** The connection is gone, whether it was ever open or not. */
    void closed(PeerConnection connection);
}
