package org.tarragonarch.wire;

/** The owner of incoming connections, which does nothing: the other end reopens the connection when needed. */
enum IncomingOwner implements ConnectionOwner {
    INSTANCE;

    @Override
    public void opened(PeerConnection connection) {}

    @Override
    public void closed(PeerConnection connection) {}
}
