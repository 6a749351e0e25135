package org.tarragonarch.entry.http;

/** Hears of connections and of what the limits cut; called on network threads, so it must not block. */
public interface HttpEvents {
    /** Hears nothing. */
    HttpEvents NONE = new HttpEvents() {
        @Override
        public void connectionsChanged(int open) {}

        @Override
        public void cut(CutCause cause, String remote) {}
    };

    /** The number of open connections has changed. */
    void connectionsChanged(int open);

    /** A limit cut a connection or refused a request. */
    void cut(CutCause cause, String remote);
}
