package org.tarragonarch.entry.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection that idles, or that sends a request too slowly or without an end.
 *
 * <p>Stands before the HTTP codec, so that it sees the first byte of a request: a client that sends one header byte a
 * second would otherwise keep its connection indefinitely. While a request runs there is no time limit here, as its
 * deadline rules it. Used on the connection's event loop only.
 */
final class ConnectionTimer extends ChannelInboundHandlerAdapter {
    private final HttpLimits limits;
    private final HttpEvents events;
    private Phase phase = Phase.IDLE;
    private Channel channel;
    private ScheduledFuture<?> due;

    ConnectionTimer(HttpLimits limits, HttpEvents events) {
        this.limits = limits;
        this.events = events;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        enter(Phase.IDLE);
        context.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (phase == Phase.IDLE) {
            enter(Phase.RECEIVING);
        }
        context.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        cancel();
        context.fireChannelInactive();
    }

    /** The request at hand is whole. */
    void requestReceived() {
        enter(Phase.RUNNING);
    }

    /** The answer has left and the next request may come. */
    void answerSent() {
        enter(Phase.IDLE);
    }

    private void enter(Phase next) {
        cancel();
        phase = next;
        switch (next) {
            case IDLE -> schedule(limits.idleTimeout(), CutCause.IDLE);
            case RECEIVING -> schedule(limits.receiveTimeout(), CutCause.SLOW_SENDER);
            default -> due = null;
        }
    }

    private void schedule(Duration time, CutCause cause) {
        due = channel.eventLoop().schedule(() -> cut(cause), time.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void cut(CutCause cause) {
        events.cut(cause, Remotes.of(channel));
        channel.close();
    }

    private void cancel() {
        if (due != null) {
            due.cancel(false);
        }
    }

    private enum Phase {
        IDLE,
        RECEIVING,
        RUNNING
    }
}
