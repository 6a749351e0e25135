package org.tarragonarch.entry.http;

import com.google.common.collect.ImmutableList;
import com.google.common.util.concurrent.MoreExecutors;
import io.jooby.Jooby;
import io.jooby.Server;
import io.jooby.ServerOptions;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.handler.timeout.WriteTimeoutHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.tarragonarch.model.id.Address;
import org.tarragonarch.model.outcome.Step;
import org.tarragonarch.model.outcome.StepException;

/**
 * Serves a Jooby application on Netty, with resource limits.
 *
 * <p>Jooby's own Netty server limits neither headers, connections nor times, may answer pipelined requests out of
 * order, stores large bodies in files and does not report a client that hangs up. Therefore this class builds its own
 * pipeline, which ends in Jooby's router and context.
 */
public final class ApiServer extends Server.Base {
    private static final int MAX_LINE_BYTES = 4_096;
    private static final int MAX_CHUNK_BYTES = 64 << 10;
    private static final int BACKLOG = 1_024;

    private final InetSocketAddress address;
    private final HttpLimits limits;
    private final HttpEvents events;
    private final ExchangeCount exchanges = new ExchangeCount();
    private final EventLoopGroup acceptor;
    private final EventLoopGroup workers;
    private Channel listener;

    private ApiServer(InetSocketAddress address, HttpLimits limits, HttpEvents events, String name, int threads) {
        this.address = address;
        this.limits = limits;
        this.events = events;
        this.acceptor = new NioEventLoopGroup(1, new DefaultThreadFactory(name + "-accept", true));
        this.workers = new NioEventLoopGroup(threads, new DefaultThreadFactory(name, true));
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param address the listen address; port 0 selects any free port
     * @param limits the limits on clients
     * @param events receives connection events and limit violations
     * @param name the name prefix of the threads
     * @param threads the number of event loop threads
     */
    public static ApiServer create(
            InetSocketAddress address, HttpLimits limits, HttpEvents events, String name, int threads) {
        return new ApiServer(address, limits, events, name, threads);
    }

    /** Converts an address of the settings to a socket address. */
    public static InetSocketAddress socketAddress(Address address) {
        return new InetSocketAddress(address.ip(), address.port());
    }

    /**
     * Binds the port and starts to serve the application.
     *
     * @throws StepException if the port cannot be bound
     */
    public void serve(Jooby application) throws StepException {
        fireStart(ImmutableList.of(application), MoreExecutors.directExecutor());
        ConnectionLimiter limiter = new ConnectionLimiter(limits.maxConnections(), events);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(acceptor, workers)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        buildPipeline(channel, application, limiter);
                    }
                });
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            stop();
            throw new StepException(
                    Step.LIFECYCLE,
                    address.getHostString() + ":" + address.getPort(),
                    "cannot listen: " + bound.cause().getMessage(),
                    bound.cause());
        }
        listener = bound.channel();
        fireReady(ImmutableList.of(application));
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /**
     * Waits until the answers to all accepted requests are fully written.
     *
     * <p>After the drain the core has decided every answer, but the last ones may not be written yet. The process must
     * not exit before they are.
     *
     * @return whether all are written; false if the timeout passed first
     */
    public boolean awaitAllAnswered(Duration timeout) throws InterruptedException {
        return exchanges.awaitNone(timeout);
    }

    private void buildPipeline(SocketChannel channel, Jooby application, ConnectionLimiter limiter) {
        ConnectionTimer timer = new ConnectionTimer(limits, events);
        channel.pipeline()
                .addLast(limiter)
                .addLast(new WriteTimeoutHandler(limits.sendTimeout().toNanos(), TimeUnit.NANOSECONDS))
                .addLast(timer)
                .addLast(new HttpServerCodec(MAX_LINE_BYTES, limits.maxHeaderBytes(), MAX_CHUNK_BYTES))
                .addLast(new HttpServerKeepAliveHandler())
                .addLast(new RequestGate(timer, exchanges))
                .addLast(new RequestAggregator(limits.maxRequestBytes(), events))
                .addLast(new RouterHandler(application, events));
    }

    @Override
    public Server start(Jooby application) {
        throw new UnsupportedOperationException("use serve, which throws a checked exception");
    }

    /** Starts to close the port and all connections, without waiting. */
    @Override
    public Server stop() {
        acceptor.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        workers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        return this;
    }

    @Override
    public Server setOptions(ServerOptions options) {
        return this;
    }

    @Override
    public ServerOptions getOptions() {
        return new ServerOptions();
    }

    @Override
    public String getName() {
        return "netty";
    }
}
