package org.tarragonarch.standin.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** One request, with methods to answer it correctly or faultily. */
public final class HttpExchange {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Channel channel;
    private final String method;
    private final QueryStringDecoder target;
    private final HttpHeaders headers;
    private final byte[] body;
    private final boolean keepAlive;
    private final OpenExchanges open;

    HttpExchange(Channel channel, FullHttpRequest request, OpenExchanges open) {
        this.channel = channel;
        this.method = request.method().name();
        this.target = new QueryStringDecoder(request.uri());
        this.headers = request.headers();
        this.body = ByteBufUtil.getBytes(request.content());
        this.keepAlive = HttpUtil.isKeepAlive(request);
        this.open = open;
        open.add(this);
    }

    /** Returns the request method, in capitals. */
    public String method() {
        return method;
    }

    /** Returns the decoded path of the request. */
    public String path() {
        return target.path();
    }

    /** Returns the first value of a query parameter, if present. */
    public Optional<String> query(String name) {
        return target.parameters().getOrDefault(name, List.of()).stream().findFirst();
    }

    /** Returns the first value of a header, if present. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /** Returns the body without copying it. */
    public byte[] body() {
        return body;
    }

    /**
     * Returns the body as JSON.
     *
     * @throws IllegalArgumentException if the body is not valid JSON
     */
    public JsonNode json() {
        try {
            JsonNode json = MAPPER.readTree(body);
            if (json == null || json.isMissingNode()) {
                throw new IllegalArgumentException("the body is empty");
            }
            return json;
        } catch (IOException e) {
            throw new IllegalArgumentException("the body is not valid JSON", e);
        }
    }

    /** Runs an action on this connection's event loop after a delay. */
    public void scheduleAfter(long milliseconds, Runnable action) {
        channel.eventLoop().schedule(action, milliseconds, TimeUnit.MILLISECONDS);
    }

    /** Sends an answer; closes the connection if either side asked for that. */
    public void reply(HttpReply reply) {
        boolean persistent = keepAlive && !"close".equals(reply.headers().get("Connection"));
        FullHttpResponse response = response(reply);
        ChannelFuture written = channel.writeAndFlush(response);
        written.addListener(done -> open.remove(this));
        if (!persistent) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Sends an answer that announces the full length but has only half of the body, then closes the connection. */
    public void replyCutShort(HttpReply reply) {
        FullHttpResponse response = response(reply);
        response.content().writerIndex(reply.body().length / 2);
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /** Closes the connection without an answer. */
    public void close() {
        channel.close();
    }

    private static FullHttpResponse response(HttpReply reply) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status()), Unpooled.copiedBuffer(reply.body()));
        reply.headers().forEach(response.headers()::set);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
        return response;
    }
}
