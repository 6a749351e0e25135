package org.tarragonarch.entry.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.tarragonarch.model.outcome.ProblemCode;

/**
 * Joins the parts of a request, up to the largest body allowed.
 *
 * <p>An oversized request is answered at once; what still comes of it is dropped unread until its end or until the
 * receive timeout, whichever is first. Closing at once instead would reset the connection, and the client would lose
 * the answer that says why.
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
