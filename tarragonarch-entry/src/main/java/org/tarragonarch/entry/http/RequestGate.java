package org.tarragonarch.entry.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Lets one request of a connection through at a time.
 *
 * <p>A client may send its next request before the answer to the last (HTTP pipelining), and the answers here become
 * ready in any order. Were both let through, the client would take the second request's answer for the first's. So
 * whatever follows a request waits until the request's answer has left, and meanwhile nothing more is read. Stands
 * before the aggregator, whose own answers to oversized requests must keep the order too.
 */
final class RequestGate extends ChannelDuplexHandler {
    private final ConnectionTimer timer;
    private final ExchangeCount exchanges;
    private final Deque<Object> waiting = new ArrayDeque<>();
    private boolean underWay;
    private boolean received;
    private boolean answered;
    private boolean draining;

    RequestGate(ConnectionTimer timer, ExchangeCount exchanges) {
        this.timer = timer;
        this.exchanges = exchanges;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        waiting.add(message);
        drain(context);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        ChannelPromise observed = promise.unvoid();
        if (message instanceof FullHttpResponse response
                && response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
            observed.addListener((ChannelFutureListener) sent -> {
                answered = true;
                finishIfDone(context);
            });
        }
        context.write(message, observed);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
        if (underWay) {
            underWay = false;
            exchanges.end();
        }
        context.fireChannelInactive();
    }

    // Answers that are ready at once end their request within the loop; the flag keeps a long row of them from nesting.
    private void drain(ChannelHandlerContext context) {
        if (draining) {
            return;
        }
        draining = true;
        while (!waiting.isEmpty() && !(underWay && received)) {
            forward(context, waiting.poll());
        }
        draining = false;
        context.channel().config().setAutoRead(waiting.isEmpty());
    }

    private void forward(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest) {
            underWay = true;
            received = false;
            answered = false;
            exchanges.begin();
        }
        boolean last = message instanceof LastHttpContent;
        if (last) {
            received = true;
            timer.requestReceived();
        }
        context.fireChannelRead(message);
        if (last) {
            finishIfDone(context);
        }
    }

    private void finishIfDone(ChannelHandlerContext context) {
        if (underWay && received && answered) {
            underWay = false;
            exchanges.end();
            timer.answerSent();
            drain(context);
        }
    }
}
