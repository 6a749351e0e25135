package org.tarragonarch.entry.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.tarragonarch.model.outcome.ProblemCode;

/**
 * Aggregates the parts of a request, up to the maximum body size.
 *
 * <p>An oversized request is answered at once, and the rest of its body is discarded until its end or the receive
 * timeout. Closing the connection at once could reset it before the client reads the answer.
 */
final class RequestAggregator extends HttpObjectAggregator {
    private final HttpEvents events;

    RequestAggregator(int maxBytes, HttpEvents events) {
        super(maxBytes);
        this.events = events;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        events.cut(CutCause.BODY_TOO_LARGE, Remotes.of(context.channel()));
        context.writeAndFlush(tooLarge());
    }

    @Override
    protected Object newContinueResponse(HttpMessage start, int maxBytes, ChannelPipeline pipeline) {
        Object response = super.newContinueResponse(start, maxBytes, pipeline);
        boolean refused = response instanceof FullHttpResponse full
                && full.status().equals(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        return refused ? tooLarge() : response;
    }

    private FullHttpResponse tooLarge() {
        return EarlyProblem.response(
                ProblemCode.OVER_LIMIT.status(),
                ProblemCode.OVER_LIMIT,
                "the body is larger than " + maxContentLength() + " bytes");
    }
}
