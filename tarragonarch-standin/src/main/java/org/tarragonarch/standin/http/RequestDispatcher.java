package org.tarragonarch.standin.http;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import java.io.IOException;

/** Passes complete requests to the handler, and answers 400 to an {@link IllegalArgumentException} of the handler. */
final class RequestDispatcher extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int BAD_REQUEST = 400;

    private final HttpHandler handler;
    private final OpenExchanges open;
    private HttpExchange newest;

    RequestDispatcher(HttpHandler handler, OpenExchanges open) {
        this.handler = handler;
        this.open = open;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        HttpExchange exchange = new HttpExchange(context.channel(), request, open);
        newest = exchange;
        try {
            handler.handle(exchange);
        } catch (IllegalArgumentException e) {
            exchange.reply(HttpReply.error(BAD_REQUEST, String.valueOf(e.getMessage())));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        // Clients send one request at a time on a connection, so only the newest can be unanswered.
        if (newest != null) {
            open.remove(newest);
        }
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOGGER.atWarning().withCause(cause).log("a connection to a stand-in failed");
        }
        context.close();
    }
}
