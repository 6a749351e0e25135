package org.tarragonarch.entry.http;

import com.google.common.flogger.FluentLogger;
import io.jooby.Router;
import io.jooby.internal.netty.NettyContext;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.handler.timeout.WriteTimeoutException;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.entry.log.LogLine;
import org.tarragonarch.model.outcome.ProblemCode;
import org.tarragonarch.model.outcome.Step;

/**
 * Passes each complete request to the router.
 *
 * <p>The body is copied and its buffer released before the router runs: a request may wait seconds for an endpoint, and
 * a client that hangs up meanwhile must not leak a pooled buffer.
 */
final class RouterHandler extends ChannelInboundHandlerAdapter {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int RESPONSE_BUFFER_BYTES = 16 << 10;

    private static final int HEADERS_TOO_LARGE = 431;

    private final Router router;
    private final HttpEvents events;
    private Exchange current;

    RouterHandler(Router router, HttpEvents events) {
        this.router = router;
        this.events = events;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        FullHttpRequest request = (FullHttpRequest) message;
        if (request.decoderResult().isFailure()) {
            refuse(context, request);
            return;
        }
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
            current.clientHungUp();
        }
        context.fireChannelInactive();
    }

    // The last handler of the pipeline receives the failures of all handlers before it.
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof WriteTimeoutException) {
            events.cut(CutCause.SLOW_READER, Remotes.of(context.channel()));
        } else if (!(cause instanceof IOException)) {
            LOG.atWarning().withCause(cause).atMostEvery(1, TimeUnit.SECONDS).log(
                    "%s", LogLine.of("connection-failed", Step.READ, Remotes.of(context.channel())));
        }
        context.close();
    }

    private void refuse(ChannelHandlerContext context, FullHttpRequest request) {
        Throwable cause = request.decoderResult().cause();
        request.release();
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        events.cut(tooLong ? CutCause.HEADERS_TOO_LARGE : CutCause.NOT_HTTP, Remotes.of(context.channel()));
        FullHttpResponse response = tooLong
                ? EarlyProblem.response(
                        HEADERS_TOO_LARGE, ProblemCode.OVER_LIMIT, "the request line or the headers are too large")
                : EarlyProblem.response(
                        ProblemCode.MALFORMED.status(), ProblemCode.MALFORMED, "the message is not HTTP/1.1");
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private static String path(FullHttpRequest request) {
        String uri = request.uri();
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
