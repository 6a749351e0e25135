package org.tarragonarch.entry.http;

import com.google.common.flogger.FluentLogger;
import io.jooby.Context;
import io.netty.channel.Channel;
import org.tarragonarch.entry.log.LogLine;
import org.tarragonarch.model.outcome.Step;

/**
 * One request on a connection, from the receipt of its last byte to its answer.
 *
 * <p>Callbacks run on the event loop of the connection.
 */
public final class Exchange {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String ATTRIBUTE = Exchange.class.getName();
    private static final Runnable NO_ACTION = () -> {};

    private final Channel channel;
    private final byte[] body;
    private Runnable hangUpAction = NO_ACTION;
    private boolean ended;

    Exchange(Channel channel, byte[] body) {
        this.channel = channel;
        this.body = body;
    }

    /** Returns the exchange of a context that this server created. */
    public static Exchange of(Context context) {
        return context.getAttribute(ATTRIBUTE);
    }

    void attachTo(Context context) {
        context.setAttribute(ATTRIBUTE, this);
    }

    /** Returns the body of the request; empty if it has none. */
    public byte[] body() {
        return body;
    }

    /** Returns the remote address of the connection, for the log. */
    public String remote() {
        return Remotes.of(channel);
    }

    /**
     * Sends the answer on the event loop of the connection; may be called from any thread.
     *
     * @param answer builds the answer and sends it through the context
     * @throws java.util.concurrent.RejectedExecutionException if the server has stopped
     */
    public void respond(Runnable answer) {
        channel.eventLoop().execute(() -> {
            ended = true;
            runOrClose(answer);
            // Jooby's context flushes only while a request is being read.
            channel.flush();
        });
    }

    // If the answer cannot be written, closing the connection tells the client that none will come. It rightly leaves
    // open whether the submission ran.
    private void runOrClose(Runnable answer) {
        try {
            answer.run();
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("%s", LogLine.of("answer-failed", Step.READ, remote()));
            channel.close();
        }
    }

    /** Sets the action for a client that hangs up before its answer; runs it at once if the client already has. */
    public void onHangUp(Runnable action) {
        hangUpAction = action;
        if (!channel.isActive() && !ended) {
            clientHungUp();
        }
    }

    void clientHungUp() {
        if (!ended && hangUpAction != NO_ACTION) {
            ended = true;
            hangUpAction.run();
        }
    }
}
