package org.tarragonarch.entry.http;

import com.google.common.flogger.FluentLogger;
import io.jooby.Context;
import io.netty.channel.Channel;
import org.tarragonarch.entry.log.LogLine;
import org.tarragonarch.model.outcome.Step;

/**
 * One request on one connection, from its last byte to its answer.
 *
 * <p>Its callbacks run on the connection's event loop.
 */
public final class Exchange {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
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

    /**
     * Sends the answer on the connection's event loop; may be called from any thread.
     *
     * @param answer puts the answer together and hands it to the context
     * @throws java.util.concurrent.RejectedExecutionException if the server has stopped
     */
    public void respond(Runnable answer) {
        channel.eventLoop().execute(() -> {
            ended = true;
            runOrClose(answer);
            // The context flushes by itself only while a request is being read.
            channel.flush();
        });
    }

    // A client whose answer cannot be written must learn that none will come; a broken connection leaves it open
    // whether
    // its submission ran, which is true.
    private void runOrClose(Runnable answer) {
        try {
            answer.run();
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("%s", LogLine.of("answer-failed", Step.READ, remote()));
            channel.close();
        }
    }

    /** Sets what is done if the client hangs up before its answer; done at once if it has already. */
    public void onHangUp(Runnable action) {
        hangUp = action;
        if (!channel.isActive() && !ended) {
            clientHungUp();
        }
    }

    void clientHungUp() {
        if (!ended && hangUp != NOTHING) {
            ended = true;
            hangUp.run();
        }
    }
}
