package org.tarragonarch.entry.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.handler.timeout.WriteTimeoutException;
import java.util.ArrayDeque;
import java.util.Deque;
import org.tarragonarch.model.outcome.ProblemCode;

/**
 * Lets one request of a connection through at a time.
 *
 * <p>A client may send its next request before the answer to the last (HTTP pipelining), and the answers here become
 * ready in any order. Were both let through, the client would take the second request's answer for the first's. The
 * next request waits until the answer before it has left, and meanwhile nothing more is read.
 */
final class RequestGate extends ChannelDuplexHandler {
    private static final int HEADERS_TOO_LARGE = 431;

    private final ConnectionTimer timer;
    private final HttpEvents events;
    private final ExchangeCount exchanges;
    private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();
    private boolean running;

    RequestGate(ConnectionTimer timer, HttpEvents events, ExchangeCount exchanges) {
        this.timer = timer;
        this.events = events;
        this.exchanges = exchanges;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        FullHttpRequest request = (FullHttpRequest) message;
        if (running) {
            waiting.add(request);
            context.channel().config().setAutoRead(false);
            return;
        }
        start(context, request);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        ChannelPromise observed = promise.unvoid();
        if (message instanceof FullHttpResponse) {
            observed.addListener((ChannelFutureListener) sent -> finish(context));
        }
        context.write(message, observed);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        waiting.forEach(FullHttpRequest::release);
        waiting.clear();
        leave();
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof WriteTimeoutException) {
            events.cut(CutCause.SLOW_READER, Remotes.of(context.channel()));
        }
        context.close();
    }

    private void start(ChannelHandlerContext context, FullHttpRequest request) {
        running = true;
        exchanges.begin();
        timer.requestReceived();
        if (request.decoderResult().isFailure()) {
            refuse(context, request);
            return;
        }
        context.fireChannelRead(request);
    }

    private void refuse(ChannelHandlerContext context, FullHttpRequest request) {
        Throwable cause = request.decoderResult().cause();
        request.release();
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        events.cut(tooLong ? CutCause.HEADERS_TOO_LARGE : CutCause.NOT_HTTP, Remotes.of(context.channel()));
        FullHttpResponse response = tooLong
                ? EarlyProblem.response(
                        HEADERS_TOO_LARGE, ProblemCode.OVER_LIMIT, "the request's line or headers are too large")
                : EarlyProblem.response(
                        ProblemCode.MALFORMED.status(), ProblemCode.MALFORMED, "the message is not HTTP/1.1");
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private void finish(ChannelHandlerContext context) {
        leave();
        timer.answered();
        FullHttpRequest next = waiting.poll();
        if (next == null) {
            context.channel().config().setAutoRead(true);
            return;
        }
        // Not at once, as a long row of waiting requests would deepen the stack with each.
        running = true;
        exchanges.begin();
        context.executor().execute(() -> startWaiting(context, next));
    }

    private void startWaiting(ChannelHandlerContext context, FullHttpRequest request) {
        leave();
        if (context.channel().isActive()) {
            start(context, request);
        } else {
            request.release();
        }
    }

    private void leave() {
        if (running) {
            running = false;
            exchanges.end();
        }
    }
}
