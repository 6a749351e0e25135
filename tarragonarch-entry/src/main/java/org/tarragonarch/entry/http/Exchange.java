package org.tarragonarch.entry.http;

import io.jooby.Context;
import io.netty.channel.Channel;
import java.util.concurrent.Executor;

/**
 * One request on one connection, from its last byte to its answer.
 *
 * <p>Its callbacks run on the connection's event loop.
 */
public final class Exchange {
    private static final String ATTRIBUTE = Exchange.class.getName();
    private static final Runnable NOTHING = () -> {};

    private final Channel channel;
    private final byte[] body;
    private Runnable hangUp = NOTHING;
    private boolean ended;

    Exchange(Channel channel, byte[] body) {
        this.channel = channel;
        this.body = body;
    }

    /** Returns the exchange to which a context of this server belongs. */
    public static Exchange of(Context context) {
        return context.getAttribute(ATTRIBUTE);
    }

    void attachTo(Context context) {
        context.setAttribute(ATTRIBUTE, this);
    }

    /** Returns the whole body of the request; empty if it has none. */
    public byte[] body() {
        return body;
    }

    /** Returns the far end of the connection, for the log. */
    public String remote() {
        return Remotes.of(channel);
    }

    /** Returns what runs tasks on the connection's event loop, in order. */
    public Executor executor() {
        return channel.eventLoop();
    }

    /** Sets what is done if the client hangs up before its answer; done at once if it has already. */
    public void onHangUp(Runnable action) {
        hangUp = action;
        if (!channel.isActive() && !ended) {
            clientGone();
        }
    }

    void answered() {
        ended = true;
    }

    void clientGone() {
        if (!ended && hangUp != NOTHING) {
            ended = true;
            hangUp.run();
        }
    }
}
