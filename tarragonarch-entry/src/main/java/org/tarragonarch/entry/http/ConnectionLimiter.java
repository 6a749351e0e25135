package org.tarragonarch.entry.http;

import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.atomic.AtomicInteger;

/** Closes new connections above the maximum; one instance serves all connections of a port. */
@Sharable
final class ConnectionLimiter extends ChannelInboundHandlerAdapter {
    private final int maxConnections;
    private final HttpEvents events;
    private final AtomicInteger open = new AtomicInteger();

    ConnectionLimiter(int maxConnections, HttpEvents events) {
        this.maxConnections = maxConnections;
        this.events = events;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        int now = open.incrementAndGet();
        events.connectionOpened();
        context.channel().closeFuture().addListener(closed -> {
            open.decrementAndGet();
            events.connectionClosed();
        });
        if (now > maxConnections) {
            events.cut(CutCause.TOO_MANY_CONNECTIONS, Remotes.of(context.channel()));
            context.close();
            return;
        }
        context.fireChannelActive();
    }
}
