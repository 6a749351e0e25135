package org.tarragonarch.platform;

import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Records whether any byte of a call may have been sent.
 *
 * <p>If the connection is refused or times out while opening, no header is written and a write cannot have taken
 * effect. If it breaks after the first header was begun, the write may have taken effect.
 */
final class SendTracker extends EventListener {
    private volatile boolean headersStarted;

    static EventListener of(Call call) {
        SendTracker tracker = call.request().tag(SendTracker.class);
        return tracker == null ? EventListener.NONE : tracker;
    }

    @Override
    public void requestHeadersStart(Call call) {
        headersStarted = true;
    }

    boolean mayHaveSent() {
        return headersStarted;
    }
}
