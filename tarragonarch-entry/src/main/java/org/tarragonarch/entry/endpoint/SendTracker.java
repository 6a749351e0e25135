package org.tarragonarch.entry.endpoint;

import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Tracks whether any byte of a request may have been sent.
 *
 * <p>OkHttp reports the start of the headers before it writes the first byte. A call that fails without that event had
 * no connection, so its task did not start. After the event, no failure proves that the endpoint received nothing; that
 * includes a reset and a broken pipe on a pooled connection.
 */
final class SendTracker extends EventListener {
    private volatile boolean mayHaveSent;

    @Override
    public void requestHeadersStart(Call call) {
        mayHaveSent = true;
    }

    boolean mayHaveSent() {
        return mayHaveSent;
    }
}
