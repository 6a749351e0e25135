package org.tarragonarch.entry.endpoint;

import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Tracks whether any byte of a request may have been sent.
 *
 * <p>OkHttp reports the start of the headers before it writes the first byte. A call that fails without that event had
 * no connection, so its task certainly did not start. Once the event has come, nothing that fails later proves that the
 * endpoint saw nothing: not a reset, nor a broken pipe on a connection that was reused from the pool.
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
