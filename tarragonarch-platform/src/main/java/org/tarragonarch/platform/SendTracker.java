package org.tarragonarch.platform;

import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Notes whether any byte of one call may have left this process.
 *
 * <p>A refused or timed-out connection never gets as far as the request's first header, so such a write certainly had
 * no effect. From the first header on, a broken connection leaves it open.
 */
final class SendTracker extends EventListener {
    private volatile boolean started;

    static EventListener of(Call call) {
        SendTracker tracker = call.request().tag(SendTracker.class);
        return tracker == null ? EventListener.NONE : tracker;
    }

    @Override
    public void requestHeadersStart(Call call) {
        started = true;
    }

    boolean mayHaveSent() {
        return started;
    }
}
