package org.tarragonarch.standin.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.function.BooleanSupplier;

/** Closes connections at a request's head while a fault is switched on. */
final class UnreadRequestCloser extends ChannelInboundHandlerAdapter {
    private final BooleanSupplier closeUnread;
    private boolean closed;

    UnreadRequestCloser(BooleanSupplier closeUnread) {
        this.closeUnread = closeUnread;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!closed && message instanceof HttpRequest request) {
            // The switches themselves stay reachable, or the fault could never be switched off.
            closed = !request.uri().startsWith("/faults") && closeUnread.getAsBoolean();
        }
        if (closed) {
            ReferenceCountUtil.release(message);
            context.close();
            return;
        }
        context.fireChannelRead(message);
    }
}
