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
 * Forwards one request of a connection at a time.
 *
 * <p>With HTTP pipelining, a client sends its next request before the answer to the previous one, and the application
 * may finish the answers in any order. To keep answers in the order of the requests, this handler queues everything
 * after the current request until its answer is written, and stops reading from the connection meanwhile. It precedes
 * the aggregator in the pipeline, because the aggregator's own answers to oversized requests must keep the order too.
 */
final class RequestGate extends ChannelDuplexHandler {
    private final ConnectionTimer timer;
    private final ExchangeCount exchanges;
    private final Deque<Object> queued = new ArrayDeque<>();
    private boolean open;
    private boolean received;
    private boolean answered;
    private boolean draining;

    RequestGate(ConnectionTimer timer, ExchangeCount exchanges) {
        this.timer = timer;
        this.exchanges = exchanges;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        queued.add(message);
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
        queued.forEach(ReferenceCountUtil::release);
        queued.clear();
        if (open) {
            open = false;
            exchanges.end();
        }
        context.fireChannelInactive();
    }

    // An immediate answer ends its request within the loop; the flag prevents recursion over many queued requests.
    private void drain(ChannelHandlerContext context) {
        if (draining) {
            return;
        }
        draining = true;
        while (!queued.isEmpty() && !(open && received)) {
            forward(context, queued.poll());
        }
        draining = false;
        context.channel().config().setAutoRead(queued.isEmpty());
    }

    private void forward(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest) {
            open = true;
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
        if (open && received && answered) {
            open = false;
            exchanges.end();
            timer.answerSent();
            drain(context);
        }
    }
}
