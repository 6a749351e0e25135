package org.tarragonarch.entry.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Closes connections that are idle too long or take too long to send a request.
 *
 * <p>It precedes the HTTP codec in the pipeline to see the first byte of a request; otherwise a client that sends one
 * header byte a second could hold its connection indefinitely. A running request has no limit here, because it has a
 * deadline. Used only on the event loop of the connection.
 */
final class ConnectionTimer extends ChannelInboundHandlerAdapter {
    private final HttpLimits limits;
    private final HttpEvents events;
    private Phase phase = Phase.IDLE;
    private Channel channel;
    private ScheduledFuture<?> timeout;

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

    /** Called when the current request was received completely. */
    void requestReceived() {
        enter(Phase.RUNNING);
    }

    /** Called when the answer was written; the connection is idle again. */
    void answerSent() {
        enter(Phase.IDLE);
    }

    private void enter(Phase next) {
        cancel();
        phase = next;
        switch (next) {
            case IDLE -> schedule(limits.idleTimeout(), CutCause.IDLE);
            case RECEIVING -> schedule(limits.receiveTimeout(), CutCause.SLOW_SENDER);
            default -> timeout = null;
        }
    }

    private void schedule(Duration delay, CutCause cause) {
        timeout = channel.eventLoop().schedule(() -> cut(cause), delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void cut(CutCause cause) {
        events.cut(cause, Remotes.of(channel));
        channel.close();
    }

    private void cancel() {
        if (timeout != null) {
            timeout.cancel(false);
        }
    }

    private enum Phase {
        IDLE,
        RECEIVING,
        RUNNING
    }
}
