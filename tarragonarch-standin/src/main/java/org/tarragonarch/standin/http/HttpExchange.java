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

/** One request and the ways to answer it, sound or faulty. */
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

    /** Returns the method, in capitals. */
    public String method() {
        return method;
    }

    /** Returns the decoded path. */
    public String path() {
        return target.path();
    }

    /** Returns the value of a query parameter. */
    public Optional<String> query(String name) {
        return target.parameters().getOrDefault(name, List.of()).stream().findFirst();
    }

    /** Returns the value of a header. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /** Returns the body; not copied. */
    public byte[] body() {
        return body;
    }

    /**
     * Returns the body as JSON.
     *
     * @throws IllegalArgumentException if it is none
     */
    public JsonNode json() {
        try {
            JsonNode json = MAPPER.readTree(body);
            if (json == null || json.isMissingNode()) {
                throw new IllegalArgumentException("the body is empty");
            }
            return json;
        } catch (IOException e) {
            throw new IllegalArgumentException("the body is no JSON", e);
        }
    }

    /** Runs something on this connection's thread after a delay. */
    public void scheduleAfter(long milliseconds, Runnable action) {
        channel.eventLoop().schedule(action, milliseconds, TimeUnit.MILLISECONDS);
    }

    /** Answers. */
    public void reply(HttpReply reply) {
        boolean lasting = keepAlive && !"close".equals(reply.headers().get("Connection"));
        FullHttpResponse response = response(reply);
        ChannelFuture written = channel.writeAndFlush(response);
        written.addListener(done -> open.remove(this));
        if (!lasting) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Answers with the whole length announced, but only half of the body, and closes the connection. */
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
