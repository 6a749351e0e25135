package org.tarragonarch.wire;

/** Is notified when a connection opens and closes. */
interface ConnectionOwner {
    /** Called when both hellos have been checked, so that frames may be sent. */
    void opened(PeerConnection connection);

    /** Called when the connection has closed, also if it was never opened. */
    void closed(PeerConnection connection);
}
