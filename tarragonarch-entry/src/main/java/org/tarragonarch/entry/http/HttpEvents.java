package org.tarragonarch.entry.http;

/** Receives connection events and limit violations; called on event loops, so it must not block. */
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

    /** Called when a connection was opened. */
    void connectionOpened();

    /** Called when a connection was closed. */
    void connectionClosed();

    /** Called when a limit closed a connection or refused a request. */
    void cut(CutCause cause, String remote);
}
