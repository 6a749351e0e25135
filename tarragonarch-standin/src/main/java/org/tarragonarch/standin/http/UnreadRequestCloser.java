package org.tarragonarch.standin.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.function.BooleanSupplier;

/** Closes a connection after the head of a request while the corresponding fault is active. */
final class UnreadRequestCloser extends ChannelInboundHandlerAdapter {
    private final BooleanSupplier closeUnread;
    private boolean closed;

    UnreadRequestCloser(BooleanSupplier closeUnread) {
        this.closeUnread = closeUnread;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!closed && message instanceof HttpRequest request) {
            // Requests to switch faults are exempt; otherwise the fault could not be switched off.
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
