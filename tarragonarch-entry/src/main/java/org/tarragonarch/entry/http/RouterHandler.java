package org.tarragonarch.entry.http;

import io.jooby.Router;
import io.jooby.internal.netty.NettyContext;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;

/**
 * Hands each whole request to the router.
 *
 * <p>The body is copied out and its buffer given back before the router runs: a request waits for endpoints for
 * seconds, and a client that hangs up meanwhile must not leak a pooled buffer.
 */
final class RouterHandler extends ChannelInboundHandlerAdapter {
    private static final int RESPONSE_BUFFER_BYTES = 16 << 10;

    private final Router router;
    private Exchange current;

    RouterHandler(Router router) {
        this.router = router;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        FullHttpRequest request = (FullHttpRequest) message;
        byte[] body;
        try {
            body = ByteBufUtil.getBytes(request.content());
        } finally {
            request.release();
        }
        current = new Exchange(context.channel(), body);
        NettyContext jooby = new NettyContext(context, request, router, path(request), RESPONSE_BUFFER_BYTES, false);
        current.attachTo(jooby);
        router.match(jooby).execute(jooby);
        context.flush();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (current != null) {
            current.clientGone();
        }
        context.fireChannelInactive();
    }

    private static String path(FullHttpRequest request) {
        String uri = request.uri();
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
