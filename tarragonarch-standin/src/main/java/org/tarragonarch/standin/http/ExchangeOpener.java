package org.tarragonarch.standin.http;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import java.io.IOException;

/** Hands whole requests to the handler and turns its complaints into answers. */
final class ExchangeOpener extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int BAD_REQUEST = 400;

    private final HttpHandler handler;
    private final OpenExchanges open;

    ExchangeOpener(HttpHandler handler, OpenExchanges open) {
        this.handler = handler;
        this.open = open;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        HttpExchange exchange = new HttpExchange(context.channel(), request, open);
        try {
            handler.handle(exchange);
        } catch (IllegalArgumentException e) {
            exchange.reply(HttpReply.error(BAD_REQUEST, String.valueOf(e.getMessage())));
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOGGER.atWarning().withCause(cause).log("a stand-in's connection failed");
        }
        context.close();
    }
}
