package org.tarragonarch.entry.http;

/** Receives connections and what the limits cut; called on network threads, so it must not block. */
public interface HttpEvents {
    /** Ignores every event. */
    HttpEvents NONE = new HttpEvents() {
        @Override
        public void connectionOpened() {}

        @Override
        public void connectionClosed() {}

        @Override
        public void cut(CutCause cause, String remote) {}
    };

    /** A connection was opened. */
    void connectionOpened();

    /** A connection that was opened is closed. */
    void connectionClosed();

    /** A limit cut a connection or refused a request. */
    void cut(CutCause cause, String remote);
}
