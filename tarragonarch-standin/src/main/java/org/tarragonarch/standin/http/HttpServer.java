package org.tarragonarch.standin.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.tarragonarch.model.id.Address;

/** An HTTP/1.1 server on one address; all connections share a few event loops, which never block. */
public final class HttpServer implements AutoCloseable {
    private static final int THREADS = 2;
    private static final int BACKLOG = 1024;
    private static final int MAX_BODY_BYTES = 16 << 20;

    private final EventLoopGroup threads = new NioEventLoopGroup(THREADS);
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final HttpHandler handler;
    private final BooleanSupplier closeUnread;
    private final OpenExchanges open = new OpenExchanges();
    private Channel listening;
    private Address address;

    private HttpServer(HttpHandler handler, BooleanSupplier closeUnread) {
        this.handler = checkNotNull(handler, "handler");
        this.closeUnread = checkNotNull(closeUnread, "closeUnread");
    }

    /**
     * Starts a server.
     *
     * @param ip the IP address to listen on
     * @param port the port to listen on, or 0 for any free port
     * @param handler the handler of requests
     * @param closeUnread evaluated at the head of each request; if true, the connection is closed with the body unread
     */
    public static HttpServer start(String ip, int port, HttpHandler handler, BooleanSupplier closeUnread) {
        HttpServer server = new HttpServer(handler, closeUnread);
        server.bind(ip, port);
        return server;
    }

    /** Returns the address on which the server listens or last listened. */
    public synchronized Address address() {
        return address;
    }

    /** Stops listening and closes all connections; connections are refused until {@link #resumeListening}. */
    public synchronized void refuseConnections() {
        listening.close().syncUninterruptibly();
        connections.close();
    }

    /** Resumes listening on the same address. */
    public synchronized void resumeListening() {
        if (!listening.isOpen()) {
            bind(address.ip(), address.port());
        }
    }

    /** Waits until all requests read so far are answered; returns false if the time ran out. */
    public boolean awaitAnswered(long milliseconds) throws InterruptedException {
        return open.awaitEmpty(milliseconds);
    }

    @Override
    public void close() {
        threads.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private synchronized void bind(String ip, int port) {
        listening = new ServerBootstrap()
                .group(threads)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        prepare(channel);
                    }
                })
                .bind(ip, port)
                .syncUninterruptibly()
                .channel();
        InetSocketAddress local = (InetSocketAddress) listening.localAddress();
        address = new Address(local.getAddress().getHostAddress(), local.getPort());
    }

    private void prepare(SocketChannel channel) {
        connections.add(channel);
        channel.pipeline()
                .addLast(new HttpServerCodec())
                .addLast(new UnreadRequestCloser(closeUnread))
                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                .addLast(new RequestDispatcher(handler, open));
    }
}
